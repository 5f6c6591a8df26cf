#include <medlarrack/core/hash.hpp>
#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/core/outcome.hpp>
#include <medlarrack/core/request_class.hpp>
#include <medlarrack/core/uuid.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(outcomes_and_classes_survive_a_round_trip_through_text)
{
    for (outcome value : {outcome::ran, outcome::not_run, outcome::unknown}) {
        BOOST_TEST((outcomeFromString(toString(value)) == value));
    }
    for (request_class value : allRequestClasses) {
        BOOST_TEST((requestClassFromString(toString(value)) == value));
    }
    BOOST_TEST(!outcomeFromString("maybe"));
    BOOST_TEST(!requestClassFromString("urgent"));
}

BOOST_AUTO_TEST_CASE(a_version_7_uuid_carries_its_birth_time)
{
    const wall_time birth(1'764'800'000'123ms);
    const auto text = makeUuid7(birth);
    BOOST_TEST(text.size() == 36U);
    BOOST_TEST((uuid7Time(text) == birth));
    BOOST_TEST(makeUuid7(birth) != text);
}

BOOST_AUTO_TEST_CASE(texts_that_are_no_version_7_uuid_have_no_time)
{
    BOOST_TEST(!uuid7Time(""));
    BOOST_TEST(!uuid7Time("order-17"));
    BOOST_TEST(!uuid7Time("0199d5f0-0000-4000-8000-000000000000"));
    BOOST_TEST(!uuid7Time("0199d5f0x0000-7000-8000-000000000000"));
    BOOST_TEST(!uuid7Time("0199d5fg-0000-7000-8000-000000000000"));
}

BOOST_AUTO_TEST_CASE(hash_parts_do_not_run_into_each_other)
{
    BOOST_TEST(hash64({"ab", "c"}) != hash64({"a", "bc"}));
    BOOST_TEST(hash64({"ab", "c"}) == hash64({"ab", "c"}));
}

BOOST_AUTO_TEST_CASE(manual_clock_moves_only_when_told)
{
    manual_clock clock(wall_time(1'000ms));
    BOOST_TEST((clock.wallNow() == wall_time(1'000ms)));
    clock.advance(250ms);
    BOOST_TEST((clock.now() == monotonic_time(250ms)));
    BOOST_TEST((clock.wallNow() == wall_time(1'250ms)));
    clock.skewWall(-1'000ms);
    BOOST_TEST((clock.now() == monotonic_time(250ms)));
    BOOST_TEST((clock.wallNow() == wall_time(250ms)));
}
