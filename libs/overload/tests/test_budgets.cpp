#include <medlarrack/overload/rate_limiter.hpp>
#include <medlarrack/overload/retry_budget.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>
#include <vector>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {
constexpr core::monotonic_time start{};
} // namespace

BOOST_AUTO_TEST_CASE(a_rate_limiter_lets_its_burst_through_and_then_its_rate)
{
    overload::rate_limiter limiter(10, 2, start);
    BOOST_TEST(limiter.tryAcquire(start));
    BOOST_TEST(limiter.tryAcquire(start));
    BOOST_TEST(!limiter.tryAcquire(start));
    BOOST_TEST((limiter.timeUntilToken(start) == 100ms));
    BOOST_TEST(limiter.tryAcquire(start + 100ms));
    BOOST_TEST(!limiter.tryAcquire(start + 150ms));
}

BOOST_AUTO_TEST_CASE(a_rate_limiter_saves_no_more_than_its_burst)
{
    overload::rate_limiter limiter(10, 2, start);
    int acquired = 0;
    while (limiter.tryAcquire(start + 1h)) {
        ++acquired;
    }
    BOOST_TEST(acquired == 2);
}

BOOST_AUTO_TEST_CASE(a_rate_of_zero_never_yields_a_token_again)
{
    overload::rate_limiter limiter(0, 1, start);
    BOOST_TEST(limiter.tryAcquire(start));
    BOOST_TEST(!limiter.tryAcquire(start + 24h));
    BOOST_TEST((limiter.timeUntilToken(start + 24h) == std::chrono::nanoseconds::max()));
}

BOOST_AUTO_TEST_CASE(retries_stay_a_share_of_first_attempts)
{
    overload::retry_budget budget(0.1, 1, 10s);
    BOOST_TEST(budget.tryRetry(start)); // extraRetries
    BOOST_TEST(!budget.tryRetry(start));
    for (int i = 0; i < 25; ++i) {
        budget.onFirstAttempt(start);
    }
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST(!budget.tryRetry(start));
    BOOST_TEST(!budget.tryRetry(start + 9s));
    BOOST_TEST(budget.tryRetry(start + 11s));
    BOOST_TEST(!budget.tryRetry(start + 11s));
}

// Guards against retries that are not counted because they can't be prevented.
BOOST_AUTO_TEST_CASE(a_retry_beyond_the_budget_is_paid_by_the_next_ones)
{
    overload::retry_budget budget(0.1, 1, 10s);
    budget.recordRetry(start);
    budget.recordRetry(start);
    for (int i = 0; i < 10; ++i) {
        budget.onFirstAttempt(start);
    }
    BOOST_TEST(!budget.tryRetry(start));
    for (int i = 0; i < 10; ++i) {
        budget.onFirstAttempt(start);
    }
    BOOST_TEST(budget.tryRetry(start));
}

// Guards against retries that are promised to requests in progress and given to others too.
BOOST_AUTO_TEST_CASE(a_reserved_retry_is_taken_from_no_other)
{
    overload::retry_budget budget(0, 4, 10s);
    auto first = budget.tryRetryAndReserve(start);
    BOOST_TEST_REQUIRE((first != nullptr));
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST((budget.tryRetryAndReserve(start) == nullptr));
    BOOST_TEST(budget.tryRetry(start));
    BOOST_TEST(!budget.tryRetry(start));
    first.reset();
    budget.recordRetry(start);
    BOOST_TEST(!budget.tryRetry(start));
    BOOST_TEST(budget.tryRetry(start + 11s));
}

// Guards against reserved retries that are lost to the budget once the request that they were for has ended.
BOOST_AUTO_TEST_CASE(a_reserved_retry_that_is_not_used_is_given_back)
{
    auto budget = std::make_unique<overload::retry_budget>(0, 3, 10s);
    for (int round = 0; round < 2; ++round) {
        const auto reserved = budget->tryRetryAndReserve(start);
        BOOST_TEST((reserved != nullptr));
    }
    BOOST_TEST(budget->tryRetry(start));
    BOOST_TEST(!budget->tryRetry(start));
    auto kept = budget->tryRetryAndReserve(start + 11s);
    BOOST_TEST_REQUIRE((kept != nullptr));
    budget.reset();
}

// Guards against ways back that add up, over the requests of several windows, to more than one window allows.
BOOST_AUTO_TEST_CASE(reserved_retries_stay_within_one_window_however_late_they_are_used)
{
    constexpr unsigned seed = 20'261'206;
    constexpr int allowed = 12;
    constexpr int steps = 4'000;
    std::minstd_rand random(seed);
    overload::retry_budget budget(0, allowed, 10s);
    std::vector<std::unique_ptr<overload::reserved_retry>> reserved;
    std::vector<core::monotonic_time> retries;
    core::monotonic_time now = start;
    std::size_t used = 0;
    for (int step = 0; step < steps; ++step) {
        now += 50ms * (random() % 8);
        if (random() % 2 == 0) {
            if (auto kept = budget.tryRetryAndReserve(now)) {
                retries.push_back(now);
                reserved.push_back(std::move(kept));
            }
        } else if (budget.tryRetry(now)) {
            retries.push_back(now);
        }
        // Now and then all come back at once.
        while (step % 100 == 99 && !reserved.empty()) {
            reserved.pop_back();
            budget.recordRetry(now);
            retries.push_back(now);
            ++used;
        }
        BOOST_TEST_REQUIRE(std::ranges::count_if(retries,
                                                 [now](core::monotonic_time at) {
                                                     return at > now - 10s;
                                                 })
                           <= allowed);
    }
    BOOST_TEST(used > 50U);
}

BOOST_AUTO_TEST_CASE(no_window_has_more_retries_than_its_share_whatever_comes)
{
    constexpr unsigned seed = 20'261'204;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    overload::retry_budget budget(0.2, 3, 10s);
    core::monotonic_time now = start;
    std::vector<core::monotonic_time> firstAttempts;
    std::vector<core::monotonic_time> retries;
    for (int event = 0; event < 20'000; ++event) {
        // Alternates between low and high load.
        now += std::chrono::milliseconds(random() % (event / 2'000 % 2 == 0 ? 5 : 200));
        if (random() % 2 == 0) {
            budget.onFirstAttempt(now);
            firstAttempts.push_back(now);
        } else if (budget.tryRetry(now)) {
            retries.push_back(now);
            const auto countInWindow = [&](const std::vector<core::monotonic_time> &times) {
                return static_cast<double>(times.end() - std::upper_bound(times.begin(), times.end(), now - 10s));
            };
            BOOST_TEST_REQUIRE(countInWindow(retries) <= 0.2 * countInWindow(firstAttempts) + 3);
        }
    }
    BOOST_TEST(retries.size() > 1'000U);
}
