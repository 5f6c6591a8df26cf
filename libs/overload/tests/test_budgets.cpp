#include <medlarrack/overload/rate_limiter.hpp>
#include <medlarrack/overload/retry_budget.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {
constexpr core::monotonic_time start{};
} // namespace

BOOST_AUTO_TEST_CASE(a_rate_limiter_lets_its_burst_through_and_then_its_rate)
{
    overload::rate_limiter limiter(10, 2, start);
    BOOST_TEST(limiter.tryTake(start));
    BOOST_TEST(limiter.tryTake(start));
    BOOST_TEST(!limiter.tryTake(start));
    BOOST_TEST((limiter.timeToToken(start) == 100ms));
    BOOST_TEST(limiter.tryTake(start + 100ms));
    BOOST_TEST(!limiter.tryTake(start + 150ms));
}

BOOST_AUTO_TEST_CASE(a_rate_limiter_saves_no_more_than_its_burst)
{
    overload::rate_limiter limiter(10, 2, start);
    int taken = 0;
    while (limiter.tryTake(start + 1h)) {
        ++taken;
    }
    BOOST_TEST(taken == 2);
}

BOOST_AUTO_TEST_CASE(a_rate_of_zero_never_yields_a_token_again)
{
    overload::rate_limiter limiter(0, 1, start);
    BOOST_TEST(limiter.tryTake(start));
    BOOST_TEST(!limiter.tryTake(start + 24h));
    BOOST_TEST((limiter.timeToToken(start + 24h) == std::chrono::nanoseconds::max()));
}

BOOST_AUTO_TEST_CASE(retries_stay_a_share_of_first_attempts)
{
    overload::retry_budget budget(0.1, 5, 1, start);
    BOOST_TEST(budget.tryRetry(start)); // the free one
    BOOST_TEST(!budget.tryRetry(start));
    for (int i = 0; i < 25; ++i) {
        budget.onFirstAttempt();
    }
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST(!budget.tryRetry(start));
    BOOST_TEST(budget.tryRetry(start + 1s));
}
