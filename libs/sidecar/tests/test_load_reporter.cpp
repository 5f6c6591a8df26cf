#include "fakes.hpp"
#include "load_reporter.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::sidecar::tests;
using namespace std::chrono_literals;

namespace {

peer::load_report makeReport(std::uint32_t running, bool leaving = false)
{
    peer::load_report report;
    report.running = running;
    report.leaving = leaving;
    return report;
}

struct reporter_fixture
{
    reporter_fixture()
    {
        reporter->add(fastWatcher, 0ms, makeReport(0), now);
        reporter->add(slowWatcher, 3s, makeReport(0), now);
    }

    void publish(std::chrono::milliseconds after, const peer::load_report &report)
    {
        now += after;
        reporter->publish(report, now);
    }

    core::monotonic_time now{1s};
    std::shared_ptr<fake_reply> fastWatcher = std::make_shared<fake_reply>();
    std::shared_ptr<fake_reply> slowWatcher = std::make_shared<fake_reply>();
    std::shared_ptr<sidecar::detail::load_reporter> reporter = std::make_shared<sidecar::detail::load_reporter>();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_reporter, reporter_fixture, *boost::unit_test::label("sidecar"))

BOOST_AUTO_TEST_CASE(each_watcher_gets_reports_no_faster_than_it_requested)
{
    publish(100ms, makeReport(1));
    publish(100ms, makeReport(2));
    BOOST_TEST(fastWatcher->sent.size() == 3U);
    BOOST_TEST(slowWatcher->sent.size() == 1U);
    // The newest content is sent once the interval has passed, although it has not changed since.
    publish(3s, makeReport(2));
    BOOST_TEST_REQUIRE(slowWatcher->sent.size() == 2U);
    BOOST_TEST(std::get<peer::load_report>(slowWatcher->sent.back()).running == 2U);
    BOOST_TEST(fastWatcher->sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(leaving_is_reported_without_delay)
{
    publish(10ms, makeReport(0, true));
    BOOST_TEST(fastWatcher->sent.size() == 2U);
    BOOST_TEST(slowWatcher->sent.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
