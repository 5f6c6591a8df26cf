#include <medlarrack/gateway/request_ending.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::gateway;

BOOST_AUTO_TEST_SUITE(request_ending_suite)

// Guards against a refusal, which promises that the request has not run, of a request that may have.
BOOST_AUTO_TEST_CASE(only_a_request_that_no_replica_may_have_run_is_refused)
{
    for (const bool isOverdue : {false, true}) {
        BOOST_TEST((chooseEnding({.isOverdue = isOverdue}) == request_ending::refused));
        BOOST_TEST((chooseEnding({.mayHaveRun = true, .isOverdue = isOverdue}) != request_ending::refused));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_fails_or_times_out)
{
    BOOST_TEST((chooseEnding({.mayHaveRun = true}) == request_ending::failed));
    BOOST_TEST((chooseEnding({.mayHaveRun = true, .isOverdue = true}) == request_ending::timed_out));
}

// Guards against a second head inside a response that has begun.
BOOST_AUTO_TEST_CASE(a_response_that_has_begun_is_broken_off)
{
    for (const bool mayHaveRun : {false, true}) {
        for (const bool isOverdue : {false, true}) {
            const request_progress progress{mayHaveRun, true, isOverdue};
            BOOST_TEST((chooseEnding(progress) == request_ending::broken_off));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
