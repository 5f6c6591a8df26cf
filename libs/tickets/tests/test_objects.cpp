#include <medlarrack/tickets/objects.hpp>
#include <medlarrack/tickets/state.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::tickets;

namespace {

service_state pivotService()
{
    service_state service;
    service.operators = {"slavonska"};
    service.calls = {{"GET", "/status", true},
                     {"GET", "/pivots/*", true},
                     {"GET", "/pivots/log/*", false},
                     {"GET", "/pivots/log/last", true},
                     {"POST", "/start", false}};
    return service;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_matches_whole_or_by_prefix_and_the_most_specific_counts)
{
    const auto service = pivotService();
    BOOST_TEST(service.isIdempotent("GET", "/status"));
    BOOST_TEST(service.isIdempotent("GET", "/status?pivot=7"));
    BOOST_TEST(service.isIdempotent("GET", "/pivots/7"));
    BOOST_TEST(!service.isIdempotent("GET", "/pivots/log/7"));
    BOOST_TEST(service.isIdempotent("GET", "/pivots/log/last"));
}

BOOST_AUTO_TEST_CASE(calls_not_listed_are_not_idempotent)
{
    const auto service = pivotService();
    BOOST_TEST(!service.isIdempotent("POST", "/status"));
    BOOST_TEST(!service.isIdempotent("GET", "/status/more"));
    BOOST_TEST(!service.isIdempotent("GET", "/pivots"));
    BOOST_TEST(!service.isIdempotent("POST", "/start"));
}

BOOST_AUTO_TEST_CASE(a_path_that_could_lead_elsewhere_matches_no_prefix)
{
    const auto service = pivotService();
    for (const char *path : {"/pivots/../start", "/pivots/./7", "/pivots//7", "/pivots/%2e%2e/start", "/pivots/..",
                             "/pivots/a;b", "/pivots/..\\start"}) {
        BOOST_TEST(!service.isIdempotent("GET", path), path);
    }
}

BOOST_AUTO_TEST_CASE(only_listed_operators_may_call_a_service)
{
    BOOST_TEST(pivotService().allows("slavonska"));
    BOOST_TEST(!pivotService().allows("tuul"));
}

BOOST_AUTO_TEST_CASE(a_key_hash_is_the_sha256_of_salt_and_key)
{
    // SHA-256 of "abc", from FIPS 180-2.
    BOOST_TEST(hashKey("a", "bc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
