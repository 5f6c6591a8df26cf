#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/sidecar/request_journal.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;

BOOST_AUTO_TEST_SUITE(request_journal, *boost::unit_test::label("sidecar"))

BOOST_AUTO_TEST_CASE(events_have_the_names_that_medlarrackctl_reads)
{
    core::manual_clock clock(core::wall_time(std::chrono::milliseconds(1'000)));
    sidecar::request_journal journal(clock, 2, 4);
    journal.addEvent("r1", "queued", "behind 3");
    const auto events = nlohmann::json::parse(journal.explain("r1").value()).at("events");
    BOOST_TEST(events.at(0).at("at_ms") == 1'000);
    BOOST_TEST(events.at(0).at("what") == "queued");
    BOOST_TEST(events.at(0).at("why") == "behind 3");
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_by_requests_and_events)
{
    core::manual_clock clock;
    sidecar::request_journal journal(clock, 2, 1);
    journal.addEvent("r1", "queued", "");
    journal.addEvent("r1", "started", "");
    BOOST_TEST(nlohmann::json::parse(journal.explain("r1").value()).at("events_dropped") == 1);
    journal.addEvent("r2", "queued", "");
    journal.addEvent("r3", "queued", "");
    BOOST_TEST(!journal.explain("r1"));
    BOOST_TEST(journal.explain("r3").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
