#include "call_parser.hpp"

#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/core/uuid.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace medlarrack;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::string_view key = "0199d5f0-0000-7000-8000-000000000001";

struct parser_fixture
{
    parser_fixture()
    {
        std::vector<tickets::ticket_fault> faults;
        const auto ticket = tickets::parseTicket(R"({"ticket": 1,
            "operators": {"slavonska": {"keys": [], "limits": {"requests_in_flight": 2, "requests_per_s": 5}}},
            "adapters": {"slavonska/nozzle-7": {"base_model": "base-8b", "group": "assistant", "current": "v3",
                "versions": {"v2": {"source": "store"}, "v3": {"source": "store"}}}},
            "services": {"pivot": {"operators": ["slavonska"], "calls": [
                {"method": "GET", "path": "/status/*", "idempotent": true},
                {"method": "POST", "path": "/start", "idempotent": false}]},
                "ledger": {"operators": ["tuul"], "calls": []}}})",
                                                 faults);
        BOOST_TEST_REQUIRE(ticket.has_value());
        tickets.apply(*ticket);
    }

    std::optional<entry::call> completion(std::string body, http::header_list headers = {})
    {
        return parser.completion({"POST", "/v1/completions", std::move(headers), std::move(body)}, "slavonska", error);
    }

    std::optional<entry::call> serviceCall(std::string method, std::string target, http::header_list headers = {})
    {
        return parser.serviceCall({std::move(method), std::move(target), std::move(headers), "body"}, "slavonska",
                                  error);
    }

    core::manual_clock clock{core::wall_time(1'764'800'000'000ms)};
    tickets::state tickets;
    entry::request_settings settings;
    entry::call_parser parser{settings, tickets, clock};
    entry::error_response error;
};

struct bad_request
{
    std::string body;
    http::header_list headers;
    int status;
    std::string code;
};

std::ostream &operator<<(std::ostream &out, const bad_request &value)
{
    return out << value.code << " for " << value.body;
}

const std::string good = R"({"model": "slavonska/nozzle-7"})";

const std::vector<bad_request> badRequests = {
    {"", {}, 400, "bad_json"},
    {R"({"model": "slavonska/noz)", {}, 400, "bad_json"},
    {"[]", {}, 400, "bad_json"},
    {"{}", {}, 400, "bad_model"},
    {R"({"model": 7})", {}, 400, "bad_model"},
    {R"({"model": "slavonska/nozzle-7", "stream": "yes"})", {}, 400, "bad_stream"},
    {R"({"model": "base-8b"})", {}, 404, "unknown_adapter"},
    {R"({"model": "/"})", {}, 404, "unknown_adapter"},
    {R"({"model": "slavonska/"})", {}, 404, "unknown_adapter"},
    {R"({"model": "slavonska/other"})", {}, 404, "unknown_adapter"},
    {R"({"model": "slavonska/nozzle-7@v9"})", {}, 404, "unknown_version"},
    {R"({"model": "slavonska/nozzle-7@"})", {}, 404, "unknown_version"},
    {R"({"model": "tuul/morning"})", {}, 403, "adapter_not_allowed"},
    {good, {{"X-Deadline-Ms", "soon"}}, 400, "bad_deadline"},
    {good, {{"X-Deadline-Ms", "0"}}, 400, "bad_deadline"},
    {good, {{"X-Deadline-Ms", "-5"}}, 400, "bad_deadline"},
    {good, {{"X-Deadline-Ms", "600001"}}, 400, "bad_deadline"},
    {good, {{"X-Deadline-Ms", "99999999999999999999"}}, 400, "bad_deadline"},
    {good, {{"X-Deadline-Ms", ""}}, 400, "bad_deadline"},
    {good, {{"X-Priority", "urgent"}}, 400, "bad_priority"},
    {good, {{"Idempotency-Key", "order 17"}}, 400, "bad_idempotency_key"},
};

} // namespace

BOOST_DATA_TEST_CASE_F(parser_fixture, a_bad_request_is_refused_with_its_code_and_did_not_run, data::make(badRequests),
                       bad)
{
    BOOST_TEST(!completion(bad.body, bad.headers));
    BOOST_TEST(error.status == bad.status);
    BOOST_TEST(error.code == bad.code);
    BOOST_TEST((error.outcome == core::outcome::not_run));
    BOOST_TEST(!error.message.empty());
}

BOOST_FIXTURE_TEST_CASE(a_model_without_a_version_runs_on_the_current_one, parser_fixture)
{
    BOOST_TEST(completion(good)->adapter.toString() == "slavonska/nozzle-7@v3");
    BOOST_TEST(completion(R"({"model": "slavonska/nozzle-7@v2"})")->adapter.toString() == "slavonska/nozzle-7@v2");
}

BOOST_FIXTURE_TEST_CASE(a_completion_runs_at_most_once_only_with_a_key, parser_fixture)
{
    const auto plain = completion(good, {{"X-Deadline-Ms", "1500"}, {"X-Priority", "bulk"}}).value();
    BOOST_TEST(plain.idempotent);
    BOOST_TEST((plain.deadline - plain.acceptedAt == 1'500ms));
    BOOST_TEST((plain.priority == core::request_class::bulk));
    const auto keyed = completion(good, {{"idempotency-key", std::string(key)}}).value();
    BOOST_TEST(!keyed.idempotent);
    BOOST_TEST(keyed.idempotencyKey == key);
    BOOST_TEST(keyed.fingerprint == plain.fingerprint);
}

BOOST_FIXTURE_TEST_CASE(a_service_call_is_idempotent_only_when_listed_so, parser_fixture)
{
    BOOST_TEST(serviceCall("GET", "/services/pivot/status/7?full=1")->idempotent);
    BOOST_TEST(serviceCall("GET", "/services/pivot/status/7?full=1")->path == "/status/7?full=1");
    const auto start = serviceCall("POST", "/services/pivot/start").value();
    BOOST_TEST(!start.idempotent);
    BOOST_TEST(start.idempotencyKey.empty());
    BOOST_TEST(serviceCall("POST", "/services/pivot/start", {{"Idempotency-Key", std::string(key)}})->idempotencyKey
               == key);
    BOOST_TEST(!serviceCall("DELETE", "/services/pivot")->idempotent);
    BOOST_TEST(serviceCall("DELETE", "/services/pivot")->path == "/");
}

BOOST_DATA_TEST_CASE_F(parser_fixture, a_path_that_could_mean_another_call_is_not_idempotent,
                       data::make({"/status/../start", "/status/%2e%2e/start", "/status//start", "/status/.",
                                   "/status/..", "/status/..\\start"}),
                       path)
{
    BOOST_TEST(!serviceCall("GET", std::string("/services/pivot") + path)->idempotent);
}

BOOST_FIXTURE_TEST_CASE(services_of_others_and_unknown_ones_are_refused, parser_fixture)
{
    BOOST_TEST(!serviceCall("GET", "/services/ledger/status"));
    BOOST_TEST(error.code == "service_not_allowed");
    BOOST_TEST(!serviceCall("GET", "/services/other/status"));
    BOOST_TEST(error.code == "unknown_service");
    BOOST_TEST(!serviceCall("POST", "/services/pivot/start", {{"Idempotency-Key", "1 7"}}));
    BOOST_TEST(error.code == "bad_idempotency_key");
}
