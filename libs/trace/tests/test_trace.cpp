#include <medlarrack/trace/recorder.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {

constexpr core::wall_time start{1'000ms};

nlohmann::json jsonOf(const trace::recorder &recorder, std::string_view requestId)
{
    return nlohmann::json::parse(recorder.requestJson(requestId).value());
}

} // namespace

BOOST_AUTO_TEST_CASE(events_of_a_request_are_given_back_in_order_with_what_was_known)
{
    trace::recorder recorder;
    recorder.request("r-1", start, "accepted");
    recorder.request("r-1", start + 2ms, "routed", "adapter is loaded there", {{"target", "e-3"}, {"load", 4}});

    const auto json = jsonOf(recorder, "r-1");
    BOOST_TEST(json["events"].size() == 2U);
    BOOST_TEST(json["events"][0]["what"] == "accepted");
    BOOST_TEST(json["events"][1]["at_ms"] == 1'002);
    BOOST_TEST(json["events"][1]["why"] == "adapter is loaded there");
    BOOST_TEST(json["events"][1]["known"]["target"] == "e-3");
    BOOST_TEST(json["events"][1]["known"]["load"] == 4);
    BOOST_TEST(!recorder.requestJson("r-2"));
}

BOOST_AUTO_TEST_CASE(the_oldest_request_makes_room)
{
    trace::recorder recorder({.maxRequests = 2, .maxEventsPerRequest = 4, .maxChanges = 2});
    recorder.request("r-1", start, "accepted");
    recorder.request("r-2", start, "accepted");
    recorder.request("r-1", start, "ended");
    recorder.request("r-3", start, "accepted");

    BOOST_TEST(recorder.requests() == 2U);
    BOOST_TEST(!recorder.requestJson("r-1"));
    BOOST_TEST(recorder.requestJson("r-3").has_value());
}

BOOST_AUTO_TEST_CASE(the_last_event_of_a_long_request_is_kept_and_dropped_ones_are_counted)
{
    trace::recorder recorder({.maxRequests = 2, .maxEventsPerRequest = 3, .maxChanges = 2});
    for (int number = 0; number < 10; ++number) {
        recorder.request("r-1", start, std::to_string(number));
    }
    const auto json = jsonOf(recorder, "r-1");
    BOOST_TEST(json["dropped_events"] == 7);
    BOOST_TEST(json["events"][2]["what"] == "9");
}

BOOST_AUTO_TEST_CASE(changes_carry_their_cause_and_the_oldest_makes_room)
{
    trace::recorder recorder({.maxRequests = 2, .maxEventsPerRequest = 3, .maxChanges = 2});
    recorder.change(start, "target e-1", "failing", "connect_failed");
    recorder.change(start, "target e-1", "usable", "answered");
    recorder.change(start, "target e-2", "leaving", "load report", {{"sequence", 7}});

    const auto json = nlohmann::json::parse(recorder.changesJson());
    BOOST_TEST(json.size() == 2U);
    BOOST_TEST(json[0]["what"] == "usable");
    BOOST_TEST(json[1]["cause"] == "load report");
    BOOST_TEST(json[1]["known"]["sequence"] == 7);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_utf8_is_still_given_back_as_json)
{
    trace::recorder recorder;
    recorder.request("r-\xff", start, "what\xfe", "why", {{"text", "\xc3("}});
    BOOST_TEST(jsonOf(recorder, "r-\xff")["events"].size() == 1U);
}
