#include <medlarrack/gateway/stop_admission.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::gateway;
using medlarrack::core::monotonic_time;
using std::chrono::milliseconds;

namespace {

constexpr monotonic_time end{milliseconds(10'000)};

struct admission_fixture
{
    stop_admission admission;
    late_request read{
        .route = "r", .mayRepeat = true, .latencyTarget = milliseconds(300), .timeLeft = milliseconds(9'000)};
    late_request once{.route = "r", .latencyTarget = milliseconds(300), .timeLeft = milliseconds(9'000)};

    void record(int count, milliseconds duration)
    {
        for (int index = 0; index < count; ++index) {
            admission.recordDuration("r", duration);
        }
    }

    [[nodiscard]] bool isTaken(const late_request &request, milliseconds beforeEnd) const
    {
        return admission.canFinish(request, end - beforeEnd);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_admission_suite, admission_fixture)

BOOST_AUTO_TEST_CASE(every_request_is_taken_unless_the_process_is_being_stopped)
{
    BOOST_TEST(isTaken(once, milliseconds(1)));
    admission.beginStop(end);
    BOOST_TEST(!isTaken(once, milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(a_request_is_taken_if_its_time_is_over_before_the_end)
{
    admission.beginStop(end);
    once.timeLeft = milliseconds(500);
    BOOST_TEST(isTaken(once, milliseconds(600)));
    BOOST_TEST(!isTaken(once, milliseconds(599)));
}

BOOST_AUTO_TEST_CASE(a_request_is_taken_if_most_like_it_ended_in_the_time_that_is_left)
{
    admission.beginStop(end);
    record(95, milliseconds(60));
    record(5, milliseconds(4'000));
    BOOST_TEST(isTaken(read, milliseconds(160)));
    BOOST_TEST(!isTaken(read, milliseconds(159)));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_only_once_is_taken_if_all_like_it_ended_in_half_of_the_time_that_is_left)
{
    admission.beginStop(end);
    record(95, milliseconds(60));
    record(5, milliseconds(2'000));
    BOOST_TEST(isTaken(once, milliseconds(4'100)));
    BOOST_TEST(!isTaken(once, milliseconds(4'099)));
}

BOOST_AUTO_TEST_CASE(without_recent_requests_only_one_that_may_repeat_is_expected_in_its_latency_target)
{
    admission.beginStop(end);
    record(9, milliseconds(1));
    BOOST_TEST(isTaken(read, milliseconds(400)));
    BOOST_TEST(!isTaken(read, milliseconds(399)));
    BOOST_TEST(!isTaken(once, milliseconds(5'000)));
    read.streaming = true;
    BOOST_TEST(!isTaken(read, milliseconds(5'000)));
}

BOOST_AUTO_TEST_SUITE_END()
