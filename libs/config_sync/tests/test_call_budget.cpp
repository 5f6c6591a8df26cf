#include "fleet_simulation.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace medlarrack;
using namespace medlarrack::config_sync;
using namespace medlarrack::config_sync::tests;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Calls per second that the service allows to all readers together.
constexpr double callBudget = 2'000;
constexpr auto ticketInterval = 5s;
constexpr auto settleTime = 20s;
constexpr auto measuredTime = 100s;

struct fleet_size
{
    std::size_t dataCentres;
    std::size_t sidecarsEach;
    std::size_t entriesEach;

    [[nodiscard]] std::size_t processes() const
    {
        return dataCentres * (sidecarsEach + entriesEach);
    }
};

std::ostream &operator<<(std::ostream &out, const fleet_size &size)
{
    return out << size.processes() << " processes in " << size.dataCentres << " data centres";
}

const fleet_size sizes[] = {{3, 30, 3}, {5, 90, 10}, {10, 90, 10}, {22, 455, 45}};

/// Simulates all processes of one data centre; those of the others are only listed. Remote readers therefore don't
/// answer, as in a partition, which is the worst case for the number of calls.
struct one_data_centre : fleet_simulation
{
    explicit one_data_centre(const fleet_size &size)
    {
        for (std::size_t other = 1; other < size.dataCentres; ++other) {
            for (std::size_t index = 0; index < size.sidecarsEach; ++index) {
                listOnly(std::to_string(other) + "-" + std::to_string(index), "dc-" + std::to_string(other));
            }
        }
        for (std::size_t index = 0; index < size.sidecarsEach; ++index) {
            listOnly("0-" + std::to_string(index), "dc-0");
        }
        for (std::size_t index = 0; index < size.sidecarsEach; ++index) {
            addUnlisted("0-" + std::to_string(index), "dc-0", instances::instance_kind::sidecar);
        }
        for (std::size_t index = 0; index < size.entriesEach; ++index) {
            addUnlisted("entry-" + std::to_string(index), "dc-0", instances::instance_kind::entry);
        }
    }

    void publishFor(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += ticketInterval) {
            service.publish();
            run(ticketInterval);
        }
    }
};

double perSecond(std::uint64_t count, std::chrono::seconds time)
{
    return static_cast<double>(count) / static_cast<double>(time.count());
}

} // namespace

BOOST_DATA_TEST_CASE(calls_of_the_service_stay_under_the_budget_and_grow_slower_than_the_fleet, data::make(sizes), size)
{
    one_data_centre simulation(size);
    simulation.publishFor(settleTime);
    simulation.service.changesCalls = 0;
    simulation.service.instancesCalls = 0;
    simulation.peerQueries = 0;
    simulation.publishFor(measuredTime);
    const auto centres = static_cast<double>(size.dataCentres);
    const double changes = centres * perSecond(simulation.service.changesCalls, measuredTime);
    const double lists = centres * perSecond(simulation.service.instancesCalls, measuredTime);
    const double queries = perSecond(simulation.peerQueries, measuredTime);
    BOOST_TEST_MESSAGE(size << ": " << changes << " ticket calls/s, " << lists << " list calls/s, " << queries
                            << " peer questions/s in one data centre");
    BOOST_TEST(changes + lists < callBudget);
    // One reader per hundred sidecars, each with a call for every ticket, with a margin.
    BOOST_TEST(changes < 2.0 * centres * 0.5 + static_cast<double>(size.processes()) / 100.0);
    BOOST_TEST(simulation.allReady());
}
