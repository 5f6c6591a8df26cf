#include <medlarrack/tickets/ticket.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace medlarrack::tickets;
namespace data = boost::unit_test::data;

namespace {

constexpr std::string_view completeTicket = R"({
  "ticket": 12,
  "operators": {"slavonska": {"keys": [{"salt": "9f3c",
    "sha256": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}],
    "limits": {"requests_in_flight": 16, "requests_per_s": 0.5}, "weight": 2}, "gone": null},
  "adapters": {"slavonska/nozzle-7": {"base_model": "base-8b", "group": "assistant", "current": "v3",
    "versions": {"v2": {"source": "store"}, "v3": {"source": "store"}}}, "slavonska/old": null},
  "services": {"pivot": {"operators": ["slavonska"], "calls": [
    {"method": "GET", "path": "/status", "idempotent": true}]}},
  "groups": {"assistant": {"slots": 4, "batch_size": 32, "stall_weight": 0.25, "store_loads_per_s": 5.5,
    "store_loads_at_once": 2, "store_transit": 12}}
})";

/// A ticket with a fault and the JSON pointer that must be reported for it.
struct bad_ticket
{
    const char *text;
    const char *pointer;
};

std::ostream &operator<<(std::ostream &out, const bad_ticket &sample)
{
    return out << sample.text;
}

const bad_ticket badTickets[] = {
    {"", ""},
    {"{\"ticket\": 1", ""},
    {"[]", ""},
    {"{}", ""},
    {R"({"ticket": 1, "ticket": 2})", ""},
    {R"({"ticket": 1, "groups": {"a": null, "a": {}}})", ""},
    {R"({"ticket": 0})", "/ticket"},
    {R"({"ticket": -1})", "/ticket"},
    {R"({"ticket": 1.5})", "/ticket"},
    {R"({"ticket": "1"})", "/ticket"},
    {R"({"ticket": 9007199254740992})", "/ticket"},
    {R"({"ticket": 1, "adaptors": {}})", "/adaptors"},
    {R"({"ticket": 1, "adapters": []})", "/adapters"},
    {R"({"ticket": 1, "adapters": {"noslash": null}})", "/adapters/noslash"},
    {R"({"ticket": 1, "adapters": {"a/b/c": null}})", "/adapters/a~1b~1c"},
    {R"({"ticket": 1, "adapters": {"a/..": null}})", "/adapters/a~1.."},
    {R"({"ticket": 1, "operators": {"sp ace": null}})", "/operators/sp ace"},
    {R"({"ticket": 1, "operators": {"": null}})", "/operators/"},
    {R"({"ticket": 1, "operators": {"a": 7}})", "/operators/a"},
    {R"({"ticket": 1, "operators": {"a": {"keys": {}}}})", "/operators/a/keys"},
    {R"({"ticket": 1, "operators": {"a": {"keys": [{"salt": "", "sha256": "00"}]}}})", "/operators/a/keys/0/sha256"},
    {R"({"ticket": 1, "operators": {"a": {"keys": [], "weight": 0}}})", "/operators/a/weight"},
    {R"({"ticket": 1, "operators": {"a": {"keys": [], "limits": {"requests_in_flight": 0}}}})",
     "/operators/a/limits/requests_in_flight"},
    {R"({"ticket": 1, "operators": {"a": {"keys": [], "limits": {"requests_per_s": true}}}})",
     "/operators/a/limits/requests_per_s"},
    {R"({"ticket": 1, "adapters": {"a/b": {"base_model": "m", "group": "g", "current": "v9",
        "versions": {"v1": {"source": "store"}}}}})",
     "/adapters/a~1b/current"},
    {R"({"ticket": 1, "adapters": {"a/b": {"base_model": "m", "group": "g", "current": "v1", "versions": {}}}})",
     "/adapters/a~1b/versions"},
    {R"({"ticket": 1, "adapters": {"a/b": {"base_model": "m", "group": "g", "current": "v@1",
        "versions": {"v@1": {"source": "store"}}}}})",
     "/adapters/a~1b/versions/v@1"},
    {R"({"ticket": 1, "services": {"s": {"operators": ["a", 5], "calls": []}}})", "/services/s/operators/1"},
    {R"({"ticket": 1, "services": {"s": {"operators": [], "calls": [{"method": "get", "path": "/", "idempotent": true}]
        }}})",
     "/services/s/calls/0/method"},
    {R"({"ticket": 1, "services": {"s": {"operators": [], "calls": [{"method": "GET", "path": "/a*",
        "idempotent": true}]}}})",
     "/services/s/calls/0/path"},
    {R"({"ticket": 1, "services": {"s": {"operators": [], "calls": [
        {"method": "GET", "path": "/a", "idempotent": true}, {"method": "GET", "path": "/a", "idempotent": false}]}}})",
     "/services/s/calls/1"},
    {R"({"ticket": 1, "services": {"s": {"operators": [], "calls": [{"method": "GET", "path": "/a"}]}}})",
     "/services/s/calls/0"},
    {R"({"ticket": 1, "groups": {"g": {"slots": 0}}})", "/groups/g/slots"},
    {R"({"ticket": 1, "groups": {"g": {"stall_weight": 1.01}}})", "/groups/g/stall_weight"},
    {R"({"ticket": 1, "groups": {"g": {"store_loads_per_s": 0}}})", "/groups/g/store_loads_per_s"},
};

} // namespace

BOOST_AUTO_TEST_CASE(a_whole_ticket_is_read_with_all_its_objects)
{
    std::vector<ticket_fault> faults;
    const auto parsed = parseTicket(completeTicket, faults);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(faults.empty());
    BOOST_TEST(parsed->number == 12U);
    BOOST_TEST(parsed->text == completeTicket);
    BOOST_TEST(parsed->operators.at("slavonska")->maxInFlight == 16U);
    BOOST_TEST(parsed->operators.at("slavonska")->maxRequestsPerSecond == 0.5);
    BOOST_TEST(parsed->operators.at("slavonska")->weight == 2);
    BOOST_TEST((parsed->operators.at("gone") == nullptr));
    BOOST_TEST((parsed->adapters.at("slavonska/old") == nullptr));
    BOOST_TEST(parsed->adapters.at("slavonska/nozzle-7")->current == "v3");
    BOOST_TEST(parsed->adapters.at("slavonska/nozzle-7")->versions.size() == 2U);
    BOOST_TEST(parsed->services.at("pivot")->isIdempotent("GET", "/status"));
    BOOST_TEST(parsed->groups.at("assistant")->storeLoadsPerSecond == 5.5);
    BOOST_TEST(parsed->groups.at("assistant")->storeTransit == 12U);
}

BOOST_DATA_TEST_CASE(a_malformed_ticket_is_refused_with_a_pointer_to_the_fault, data::make(badTickets), sample)
{
    std::vector<ticket_fault> faults;
    BOOST_TEST(!parseTicket(sample.text, faults));
    const bool named = std::any_of(faults.begin(), faults.end(), [&](const ticket_fault &fault) {
        return fault.pointer == sample.pointer;
    });
    BOOST_TEST(named,
               "faults name " << sample.pointer << ", first: " << (faults.empty() ? "none" : faults.front().pointer));
}

BOOST_AUTO_TEST_CASE(all_faults_of_a_ticket_are_reported_at_once)
{
    std::vector<ticket_fault> faults;
    BOOST_TEST(!parseTicket(R"({"ticket": 0, "more": 1, "groups": {"g": {"slots": "x", "batch_size": 0}}})", faults));
    BOOST_TEST(faults.size() == 4U);
}
