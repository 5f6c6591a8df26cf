#include <medlarrack/quota/tenant_limiter.hpp>

#include <boost/test/unit_test.hpp>

namespace medlarrack::quota {

namespace {

using std::chrono::milliseconds;
constexpr core::monotonic_time start{std::chrono::hours(1)};
constexpr core::bucket_limits limits{1'000, 1'000};

bool anyTenant(std::string_view)
{
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tenant_limiter_tests)

// Guards against refusals of tenants without a quota.
BOOST_AUTO_TEST_CASE(a_quota_of_zero_admits_all)
{
    tenant_limiter limiter;
    for (int count = 0; count < 1'000; ++count) {
        BOOST_TEST(limiter.admit("t", {0, 0}, 1e6, start));
    }
    BOOST_TEST(limiter.takeReports("a", anyTenant, start).empty());
}

// Guards against a gateway that admits the whole quota by itself before any agent has told of the bucket.
BOOST_AUTO_TEST_CASE(without_news_a_gateway_admits_its_assumed_share_only)
{
    tenant_limiter limiter;
    double admitted = 0;
    for (int step = 0; step < 1'000; ++step) {
        admitted += limiter.admit("t", limits, 10, start + milliseconds(10 * step)) ? 10 : 0;
    }
    BOOST_TEST(admitted > 10 * limits.perSecond / 20);
    BOOST_TEST(admitted < 10 * limits.perSecond / 10);
    BOOST_TEST((limiter.timeToAdmission("t", start + milliseconds(10'000)) >= milliseconds(200)));
}

// Guards against a tenant that uses a multiple of its burst at once: after a stall its totals are too old, and the
// requests of that time are read together.
BOOST_AUTO_TEST_CASE(after_a_stall_no_more_than_the_burst_is_admitted_without_news)
{
    tenant_limiter limiter;
    constexpr double cost = 50;
    BOOST_TEST(limiter.admit("t", limits, cost, start));
    BOOST_TEST(!limiter.takeReports("a", anyTenant, start).empty());
    limiter.recordTotal("a", {"t", -500, 7'500});
    const auto admittedAt = [&limiter](core::monotonic_time now) {
        double admitted = 0;
        for (int count = 0; count < 100; ++count) {
            admitted += limiter.admit("t", limits, cost, now) ? cost : 0;
        }
        return admitted;
    };
    BOOST_TEST(admittedAt(start + milliseconds(10)) <= cost);
    BOOST_TEST(admittedAt(start + milliseconds(1'600)) <= limits.burst + cost);
}

// Guards against requests that are never admitted as they cost more than the burst.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_burst_is_admitted_and_the_next_one_refused)
{
    tenant_limiter limiter;
    constexpr core::bucket_limits low{10, 10};
    BOOST_TEST(limiter.admit("t", low, 320, start));
    BOOST_TEST(!limiter.admit("t", low, 200, start));
    BOOST_TEST(!limiter.admit("t", low, 200, start + milliseconds(250)));
}

// Guards against refusals below the quota by a process whose first report is answered late.
BOOST_AUTO_TEST_CASE(requests_are_admitted_until_the_first_total_is_due)
{
    tenant_limiter limiter;
    BOOST_TEST(limiter.admit("t", limits, 50, start));
    BOOST_TEST(limiter.admit("t", limits, 50, start + milliseconds(245)));
}

// Load: one gateway without news of the bucket is asked for ten times its assumed share. Guards against a prediction
// that differs from the decision on the request, and against one that counts as a request.
BOOST_AUTO_TEST_CASE(a_refusal_is_predicted_as_it_is_decided_and_not_counted)
{
    tenant_limiter limiter;
    tenant_limiter unasked;
    BOOST_TEST(!limiter.predictRefusal("t", limits, 10, start).has_value());
    BOOST_TEST(limiter.usage(start).empty());
    int refused = 0;
    for (int step = 0; step < 200; ++step) {
        const auto now = start + milliseconds(10 * step);
        for (int question = 0; question < 3; ++question) {
            static_cast<void>(limiter.predictRefusal("t", limits, 40, now));
        }
        const auto predicted = limiter.predictRefusal("t", limits, 10, now);
        const bool isAdmitted = limiter.admit("t", limits, 10, now);
        BOOST_TEST(isAdmitted == unasked.admit("t", limits, 10, now));
        BOOST_TEST(predicted.has_value() == !isAdmitted);
        if (predicted) {
            ++refused;
            BOOST_TEST((*predicted == limiter.timeToAdmission("t", now)));
        }
    }
    BOOST_TEST(refused > 100);
    BOOST_TEST(limiter.usage(start).front().refusedRequests == static_cast<std::uint64_t>(refused));
}

// Guards against quota that is lost to requests that no replica has run.
BOOST_AUTO_TEST_CASE(what_is_given_back_is_reported_as_unused)
{
    tenant_limiter limiter;
    BOOST_TEST(limiter.admit("t", limits, 5, start));
    BOOST_TEST(limiter.takeReports("a", anyTenant, start).size() == 1U);
    BOOST_TEST(limiter.admit("t", limits, 40, start));
    limiter.giveBack("t", 30);
    const auto reports = limiter.takeReports("a", anyTenant, start + milliseconds(600));
    BOOST_TEST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().admitted == 10);
}

// Guards against a total that counts for another connection's usage.
BOOST_AUTO_TEST_CASE(a_lost_agent_counts_no_more)
{
    tenant_limiter limiter;
    BOOST_TEST(limiter.admit("t", limits, 5, start));
    BOOST_TEST(!limiter.takeReports("a", anyTenant, start).empty());
    limiter.recordTotal("a", {"t", 700, 5});
    BOOST_TEST(limiter.usage(start).front().level.value() == 700);
    limiter.forgetAgent("a");
    BOOST_TEST(!limiter.usage(start).front().level.has_value());
    limiter.recordTotal("a", {"t", 700, 5});
    BOOST_TEST(!limiter.usage(start).front().level.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarrack::quota
