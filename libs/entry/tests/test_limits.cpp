#include "admission.hpp"
#include "response_assembler.hpp"

#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/settings/document.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {

constexpr core::monotonic_time start{1h};
constexpr auto interactive = core::request_class::interactive;

std::set<std::string> faultsOf(std::string_view text)
{
    settings::fault_list faults;
    const auto document = settings::document::parse(text, faults);
    if (document) {
        const bool taken = entry::parseSettings(document->root(), faults).has_value();
        BOOST_TEST(taken == faults.empty());
    }
    std::set<std::string> pointers;
    for (const settings::fault &fault : faults) {
        pointers.insert(fault.pointer);
    }
    return pointers;
}

} // namespace

BOOST_AUTO_TEST_CASE(all_faults_of_the_settings_are_reported_at_once)
{
    const auto faults = faultsOf(R"({"instance": {"id": 7}, "platform": {"url": "ftp://x"}, "colour": 1,
        "callers": {"port": 70000, "max_body": 1}, "requests": {"default_deadline_ms": 2000, "max_deadline_ms": 1000},
        "retries": {"max_attempts": 0}})");
    const std::set<std::string> expected = {
        "/instance/id",      "/instance/data_centre",         "/platform/url",        "/colour", "/callers/port",
        "/callers/max_body", "/requests/default_deadline_ms", "/retries/max_attempts"};
    BOOST_TEST(faults == expected, boost::test_tools::per_element());
    BOOST_TEST(faultsOf(R"({"instance": {"id": "entry-1", "data_centre": "osijek"}, // comment
        "platform": {"url": "http://127.0.0.1:8500"}})")
                   .empty());
}

BOOST_AUTO_TEST_CASE(the_limits_of_an_operator_do_not_affect_others)
{
    entry::admission admission(100);
    tickets::operator_state limits;
    limits.maxInFlight = 2;
    entry::error_response error;
    const auto one = admission.admit("slavonska", limits, interactive, start, error);
    auto two = admission.admit("slavonska", limits, interactive, start, error);
    BOOST_TEST(!admission.admit("slavonska", limits, interactive, start, error));
    BOOST_TEST(error.status == 429);
    BOOST_TEST(error.code == "operator_in_flight_limit");
    BOOST_TEST((admission.admit("tuul", limits, interactive, start, error) != nullptr));
    two.reset();
    BOOST_TEST((admission.admit("slavonska", limits, interactive, start, error) != nullptr));
}

BOOST_AUTO_TEST_CASE(a_rate_limited_operator_is_told_when_to_retry)
{
    entry::admission admission(100);
    tickets::operator_state limits;
    limits.maxRequestsPerSecond = 2;
    entry::error_response error;
    int admitted = 0;
    for (int count = 0; count < 40; ++count) {
        const auto permit = admission.admit("slavonska", limits, interactive, start + count * 100ms, error);
        admitted += permit ? 1 : 0;
    }
    // A burst of one second's tokens, then the rate for four seconds.
    BOOST_TEST(admitted >= 9);
    BOOST_TEST(admitted <= 10);
    BOOST_TEST(error.code == "operator_rate_limit");
    BOOST_TEST(error.retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(bulk_requests_leave_capacity_for_the_other_classes)
{
    entry::admission admission(20);
    entry::error_response error;
    std::vector<std::unique_ptr<entry::admission::permit>> permits;
    const auto fill = [&](core::request_class priority) {
        std::size_t count = 0;
        while (auto permit = admission.admit("slavonska", {}, priority, start, error)) {
            permits.push_back(std::move(permit));
            ++count;
        }
        return count;
    };
    BOOST_TEST(fill(core::request_class::bulk) == 16U);
    BOOST_TEST(fill(core::request_class::interactive) == 3U);
    BOOST_TEST(fill(core::request_class::control) == 1U);
    BOOST_TEST(error.code == "overloaded");
}

BOOST_AUTO_TEST_CASE(chunks_are_assembled_over_attempts_without_gap_or_repetition)
{
    entry::response_assembler assembler;
    assembler.startAttempt();
    BOOST_TEST(assembler.append({1, 0, "abc"}).value() == "abc");
    BOOST_TEST(!assembler.append({1, 4, "e"}));
    assembler.startAttempt();
    BOOST_TEST(assembler.append({2, 1, "bcd"}).value() == "d");
    BOOST_TEST(!assembler.append({2, 3, "d"}));
    BOOST_TEST(!assembler.isComplete(5));
    BOOST_TEST(assembler.isComplete(4));
    // All of the chunk was received by earlier attempts.
    assembler.startAttempt();
    BOOST_TEST(assembler.append({3, 0, "ab"}).value().empty());
    BOOST_TEST(!assembler.isComplete(4));
    assembler.startAttempt();
    BOOST_TEST(!assembler.append({4, 5, "f"}));
    BOOST_TEST(assembler.isComplete(4));
}
