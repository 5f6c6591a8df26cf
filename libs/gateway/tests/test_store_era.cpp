#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/store_era.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using gateway::store_era;
using std::chrono::seconds;

namespace {

struct fixture
{
    core::manual_clock clock;
    store_era era;

    store_era::verdict observe(std::optional<std::uint64_t> answered)
    {
        return era.observe(answered, clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_era_suite, fixture)

BOOST_AUTO_TEST_CASE(the_first_era_is_no_change_and_each_later_one_is)
{
    BOOST_TEST((observe(4) == store_era::verdict::current));
    BOOST_TEST((observe(4) == store_era::verdict::current));
    BOOST_TEST((observe(5) == store_era::verdict::changed));
    BOOST_TEST((observe(5) == store_era::verdict::current));
    // A process that was frozen sees only the last of several.
    BOOST_TEST((observe(9) == store_era::verdict::changed));
    BOOST_TEST(era.value().value() == 9U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_an_earlier_era_is_outdated)
{
    BOOST_TEST((observe(4) == store_era::verdict::current));
    BOOST_TEST((observe(5) == store_era::verdict::changed));
    BOOST_TEST((observe(4) == store_era::verdict::outdated));
    BOOST_TEST((observe(5) == store_era::verdict::current));
    BOOST_TEST(era.value().value() == 5U);
}

// Without this, a store that was set up anew would never be read again.
BOOST_AUTO_TEST_CASE(a_store_that_stays_in_an_earlier_era_is_read_anew)
{
    BOOST_TEST((observe(5) == store_era::verdict::current));
    clock.advance(seconds(6));
    BOOST_TEST((observe(1) == store_era::verdict::outdated));
    clock.advance(seconds(5));
    BOOST_TEST((observe(1) == store_era::verdict::changed));
    BOOST_TEST((observe(1) == store_era::verdict::current));
}

BOOST_AUTO_TEST_CASE(an_answer_without_an_era_belongs_to_the_current_one)
{
    BOOST_TEST((observe(5) == store_era::verdict::current));
    BOOST_TEST((observe(std::nullopt) == store_era::verdict::current));
    BOOST_TEST((observe(5) == store_era::verdict::current));
}

BOOST_AUTO_TEST_CASE(the_first_era_after_answers_without_one_is_a_change)
{
    BOOST_TEST((observe(std::nullopt) == store_era::verdict::current));
    BOOST_TEST((observe(1) == store_era::verdict::changed));
}

BOOST_AUTO_TEST_SUITE_END()
