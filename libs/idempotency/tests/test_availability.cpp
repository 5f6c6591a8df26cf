#include "replica_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack::idempotency;
using namespace medlarrack::idempotency::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t callCount = 90;
constexpr auto keyAcceptanceDelay = 17s;

enum class key_form {
    unbound,
    bound,
};

// Three replicas that have been listed long enough to run unbound keys.
struct settled_fleet
{
    settled_fleet()
    {
        replicas.settle();
        replicas.advance(keyAcceptanceDelay);
        replicas.settle();
    }

    // Sends calls with new keys to all replicas in turn and returns how many of them are run.
    std::uint32_t countServed(key_form form)
    {
        std::uint32_t count = 0;
        for (std::uint32_t index = 0; index < callCount; ++index) {
            const bool isBound = form == key_form::bound;
            const auto key = isBound ? replicas.submitBound(index) : replicas.submitUnbound(index);
            replicas.deliverAll();
            replicas.expireSeals();
            count += static_cast<std::uint32_t>(replicas.runsOf(key));
        }
        BOOST_TEST(replicas.violations().empty());
        return count;
    }

    replica_simulation replicas{settings()};
};

// With one of three replicas down, two thirds of the calls reach a running one.
constexpr std::uint32_t callsAtLiveReplicas = callCount * 2 / 3;

} // namespace

BOOST_FIXTURE_TEST_SUITE(availability, settled_fleet, *boost::unit_test::label("faults"))

BOOST_AUTO_TEST_CASE(all_first_calls_are_served_without_faults)
{
    BOOST_TEST(countServed(key_form::unbound) == callCount);
    BOOST_TEST(countServed(key_form::bound) == callCount);
}

BOOST_AUTO_TEST_CASE(bound_keys_are_served_while_a_listed_replica_is_silent)
{
    replicas.crash(0);
    BOOST_TEST(countServed(key_form::unbound) == 0U);
    BOOST_TEST(countServed(key_form::bound) == callsAtLiveReplicas);
}

BOOST_AUTO_TEST_CASE(unbound_keys_are_served_again_once_a_lost_replica_left_the_list_and_its_lease_ended)
{
    replicas.replace(0);
    replicas.settle();
    BOOST_TEST(countServed(key_form::unbound) == 0U);
    BOOST_TEST(countServed(key_form::bound) == callCount);
    replicas.advance(keyAcceptanceDelay);
    replicas.settle();
    BOOST_TEST(countServed(key_form::unbound) == callCount);
}

BOOST_AUTO_TEST_CASE(bound_keys_are_served_while_the_instance_list_is_down_for_an_hour)
{
    replicas.advance(1h);
    BOOST_TEST(countServed(key_form::unbound) == 0U);
    BOOST_TEST(countServed(key_form::bound) == callCount);
    replicas.settle();
    BOOST_TEST(countServed(key_form::unbound) == callCount);
}

BOOST_AUTO_TEST_CASE(unbound_keys_are_served_again_after_all_replicas_were_replaced_in_a_row)
{
    for (std::uint32_t index = 0; index < 3; ++index) {
        replicas.replace(0);
        replicas.settle();
    }
    BOOST_TEST(countServed(key_form::bound) == callCount);
    replicas.advance(keyAcceptanceDelay);
    replicas.settle();
    BOOST_TEST(countServed(key_form::unbound) == callCount);
}

BOOST_AUTO_TEST_SUITE_END()
