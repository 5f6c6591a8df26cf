#include <medlarrack/gateway/gateway_settings.hpp>
#include <medlarrack/overload/retry_budget.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {

/// A service of a user's deployment: number of gateways, requests per second over all of them, and the retries allowed
/// in addition to the share of its requests.
struct deployment
{
    int gateways = 0;
    int requestsPerSecond = 0;
    double extraRetries = 0;
};

std::ostream &operator<<(std::ostream &out, const deployment &value)
{
    return out << value.gateways << " gateways, " << value.requestsPerSecond << " requests/s";
}

const std::vector<deployment> deployments{{4, 56, 54}, {4, 100, 54}, {6, 100, 58}, {23, 327, 86}, {24, 40, 88}};

constexpr auto step = 100ms;
constexpr std::size_t stepsOfWindow = 100;
constexpr int quietSteps = 300;
constexpr int failingSteps = 300;

std::size_t sumBefore(const std::vector<std::size_t> &counts, std::size_t end)
{
    std::size_t sum = 0;
    for (std::size_t at = end - std::min(end, stepsOfWindow); at < end; ++at) {
        sum += counts[at];
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_bound)

// Guards against gateways whose unused retries, each within its own budget, add up to more than the bound of the
// service.
BOOST_DATA_TEST_CASE(retries_of_all_gateways_stay_within_the_bound_when_everything_fails_after_quiet_times,
                     boost::unit_test::data::make(deployments), at)
{
    core::monotonic_time now{1h};
    std::vector<overload::retry_budget> budgets;
    for (int gateway = 0; gateway < at.gateways; ++gateway) {
        budgets.push_back(gateway::makeRetryBudget(gateway::gateway_settings()));
    }
    std::vector<std::size_t> requests;
    std::vector<std::size_t> retries;
    int due = 0;
    std::size_t next = 0;
    for (int round = 0; round < quietSteps + failingSteps; ++round) {
        now += step;
        due += at.requestsPerSecond;
        requests.push_back(0);
        retries.push_back(0);
        for (; due >= 10; due -= 10) {
            budgets[next++ % budgets.size()].onFirstAttempt(now);
            ++requests.back();
        }
        if (round >= quietSteps) {
            for (overload::retry_budget &budget : budgets) {
                while (budget.tryRetry(now)) {
                    ++retries.back();
                }
            }
        }
        const double allowed = 0.2 * static_cast<double>(sumBefore(requests, requests.size())) + at.extraRetries;
        BOOST_TEST_REQUIRE(static_cast<double>(sumBefore(retries, retries.size())) <= allowed);
    }
    // Most of the bound is usable at once: a burst of failed requests may be retried immediately.
    BOOST_TEST(static_cast<double>(sumBefore(retries, quietSteps + 1)) >= at.requestsPerSecond * 10 * 0.15);
}

BOOST_AUTO_TEST_SUITE_END()
