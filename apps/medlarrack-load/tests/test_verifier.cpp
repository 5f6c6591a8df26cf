#include "../src/result_reader.hpp"
#include "../src/summary.hpp"

#include <medlarrack/core/hash.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;
using namespace medlarrack::load;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

planned_request completionOf(const std::string &model, bool stream = false)
{
    planned_request request;
    request.model = model;
    request.prompt = "why does nozzle 7 drip?";
    request.maxTokens = 4;
    request.stream = stream;
    return request;
}

std::string wholeAnswer(const std::string &text, const char *finish = "length")
{
    return json{{"choices", {{{"text", text}, {"finish_reason", finish}}}}}.dump();
}

std::string streamedAnswer(const std::string &text, bool withEnd = true)
{
    constexpr std::size_t tokenLength = 9;
    std::string body;
    for (std::size_t position = 0; position < text.size(); position += tokenLength) {
        json choice = {{"delta", {{"content", text.substr(position, tokenLength)}}}, {"finish_reason", nullptr}};
        if (position + tokenLength == text.size()) {
            choice["finish_reason"] = "length";
        }
        body += "data: " + json{{"choices", {choice}}}.dump() + "\n\n";
    }
    return body + (withEnd ? "data: [DONE]\n\n" : "");
}

exchange answered(int status, std::string body)
{
    exchange answer;
    answer.end.progress = http::client_progress::complete;
    answer.end.status = status;
    answer.body = std::move(body);
    answer.latency = 5ms;
    return answer;
}

request_result keyed(const std::string &key, core::outcome outcome)
{
    request_result result;
    result.key = key;
    result.outcome = outcome;
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(expected_text_is_that_of_the_protocol_page)
{
    const std::uint64_t seed = core::hash64({"a/b@v1", "p"});
    std::array<char, 10> token{};
    std::snprintf(token.data(), token.size(), " %08x", static_cast<unsigned>(core::hash64("0", seed)));
    BOOST_TEST(expectedText("a/b@v1", "p", 1) == token.data());
    BOOST_TEST(expectedText("a/b@v1", "p", 3).size() == 27U);
}

BOOST_AUTO_TEST_CASE(right_answers_are_told_from_wrong_short_and_foreign_ones)
{
    const std::string model = "a/b@v1";
    const auto request = completionOf(model);
    const std::string text = expectedText(model, request.prompt, 4);
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(text)) == verdict::right));
    BOOST_TEST((verifyCompletion(request, "", wholeAnswer(text)) == verdict::right));
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(text.substr(0, 27))) == verdict::truncated));
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(text, "stop")) == verdict::truncated));
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(text + " 00000000")) == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(expectedText(model, "another prompt", 4)))
                == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, model, wholeAnswer(expectedText("a/b@v2", request.prompt, 4)))
                == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, "a/b@v2", wholeAnswer(text)) == verdict::wrong_adapter));
    BOOST_TEST((verifyCompletion(request, model, "{}") == verdict::malformed));
    BOOST_TEST((verifyCompletion(request, model, "") == verdict::malformed));
}

BOOST_AUTO_TEST_CASE(without_a_version_the_one_that_the_answer_states_decides)
{
    const auto request = completionOf("a/b");
    const auto body = wholeAnswer(expectedText("a/b@v2", request.prompt, 4));
    BOOST_TEST((verifyCompletion(request, "a/b@v2", body) == verdict::right));
    BOOST_TEST((verifyCompletion(request, "a/b@v1", body) == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, "a/c@v2", body) == verdict::wrong_adapter));
}

BOOST_AUTO_TEST_CASE(streams_are_joined_and_need_their_end_mark)
{
    const std::string model = "a/b@v1";
    const auto request = completionOf(model, true);
    const std::string text = expectedText(model, request.prompt, 4);
    BOOST_TEST((verifyCompletion(request, model, streamedAnswer(text)) == verdict::right));
    BOOST_TEST((verifyCompletion(request, model, streamedAnswer(text, false)) == verdict::truncated));
    const std::string repeated = text.substr(0, 9) + text;
    BOOST_TEST((verifyCompletion(request, model, streamedAnswer(repeated)) == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, model, streamedAnswer(text.substr(9))) == verdict::wrong_answer));
    BOOST_TEST((verifyCompletion(request, model, streamedAnswer(text) + "data: {}\n\n") == verdict::malformed));
}

BOOST_AUTO_TEST_CASE(service_answers_must_be_the_calls_own)
{
    planned_request request;
    request.kind = request_kind::service_call;
    request.method = "POST";
    request.body = "{}";
    std::array<char, 17> hash{};
    std::snprintf(hash.data(), hash.size(), "%016llx", static_cast<unsigned long long>(core::hash64("{}")));
    json body = {{"body_hash", hash.data()}, {"method", "POST"}, {"key", "k"}};
    BOOST_TEST((verifyServiceCall(request, "k", body.dump()) == verdict::right));
    BOOST_TEST((verifyServiceCall(request, "other", body.dump()) == verdict::wrong_answer));
    body["body_hash"] = "0000000000000000";
    BOOST_TEST((verifyServiceCall(request, "k", body.dump()) == verdict::wrong_answer));
    BOOST_TEST((verifyServiceCall(request, "k", "nothing") == verdict::malformed));
}

BOOST_AUTO_TEST_CASE(results_say_what_the_caller_knows)
{
    const auto request = completionOf("a/b@v1");
    const auto kindOf = [&](const exchange &answer) {
        return readResult(request, "", answer).kind;
    };
    const std::string text = expectedText(request.model, request.prompt, 4);
    auto late = answered(200, wholeAnswer(text));
    BOOST_TEST((kindOf(late) == result_kind::answered));
    late.latency = request.deadline + 1ms;
    BOOST_TEST((kindOf(late) == result_kind::late));
    for (const auto &[outcome, kind] :
         {std::pair{"ran", result_kind::error_ran}, std::pair{"not_run", result_kind::not_run},
          std::pair{"unknown", result_kind::error_unknown}, std::pair{"perhaps", result_kind::bad_error}}) {
        const json error = {{"error", {{"code", "queue_full"}, {"outcome", outcome}}}};
        BOOST_TEST((kindOf(answered(503, error.dump())) == kind), outcome);
    }
    BOOST_TEST((kindOf(answered(502, "<html>")) == result_kind::bad_error));
    exchange broken;
    broken.end.errorCode = "connect_failed";
    BOOST_TEST((kindOf(broken) == result_kind::unreachable));
    broken.end = {http::client_progress::sent, 0, {}, "broken_answer", ""};
    BOOST_TEST((kindOf(broken) == result_kind::cut_off));
    broken.end.errorCode = "timeout";
    BOOST_TEST((kindOf(broken) == result_kind::timed_out));
    BOOST_TEST((readResult(request, "", broken).outcome == core::outcome::unknown));
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_with_an_error_event_is_cut_off_with_its_outcome)
{
    const auto request = completionOf("a/b@v1", true);
    const std::string text = expectedText(request.model, request.prompt, 4);
    const json error = {{"error", {{"code", "target_lost"}, {"outcome", "unknown"}}}};
    const auto body = streamedAnswer(text.substr(0, 18), false) + "data: " + error.dump() + "\n\n";
    const auto result = readResult(request, "", answered(200, body));
    BOOST_TEST((result.kind == result_kind::cut_off));
    BOOST_TEST(result.code == "target_lost");
    BOOST_TEST((result.outcome == core::outcome::unknown));
}

BOOST_AUTO_TEST_CASE(runs_are_compared_with_what_callers_were_told)
{
    run_ledger ledger;
    ledger.add(keyed("once", core::outcome::ran));
    ledger.add(keyed("twice", core::outcome::ran));
    ledger.add(keyed("never", core::outcome::ran));
    ledger.add(keyed("denied", core::outcome::not_run));
    ledger.add(keyed("denied and run", core::outcome::not_run));
    ledger.add(keyed("open", core::outcome::unknown));
    // Refused at first, run at the second sending.
    ledger.add(keyed("second", core::outcome::not_run));
    ledger.add(keyed("second", core::outcome::ran));
    run_counts runs = {{"once", 1}, {"twice", 1}, {"denied and run", 1}, {"open", 1}, {"second", 1}};
    run_ledger::merge(runs, {{"twice", 1}});
    std::map<std::string, std::string> codes;
    for (const auto &broken : ledger.check(runs)) {
        codes[broken.code] = broken.detail;
    }
    BOOST_TEST(codes.size() == 3U);
    BOOST_TEST(codes["ran_twice"].starts_with("key twice ran 2"));
    BOOST_TEST(codes["false_ran"].starts_with("key never ran 0"));
    BOOST_TEST(codes["false_not_run"].starts_with("key denied and run ran 1"));
    BOOST_TEST(parseRuns(R"({"k": 2})")->at("k") == 2U);
    BOOST_TEST(!parseRuns(R"({"k": "two"})"));
}

BOOST_AUTO_TEST_CASE(the_summary_counts_broken_promises_and_allows_cut_off_answers_only_when_told)
{
    request_result cut;
    cut.kind = result_kind::cut_off;
    request_result wrong;
    wrong.kind = result_kind::wrong;
    wrong.answer = verdict::wrong_adapter;
    request_result unexpected;
    unexpected.kind = result_kind::not_run;
    unexpected.outcome = core::outcome::not_run;
    unexpected.request.expected = {core::outcome::ran};
    for (const bool allowed : {false, true}) {
        summary figures(allowed);
        figures.add(cut);
        figures.add(wrong);
        figures.add(unexpected);
        BOOST_TEST(figures.broken().size() == (allowed ? 2U : 3U));
    }
}

BOOST_AUTO_TEST_CASE(percentiles_and_histogram_hold_every_value)
{
    distribution times;
    for (int value = 1; value <= 100; ++value) {
        times.add(value);
    }
    BOOST_TEST(times.percentile(0.5) == 50);
    BOOST_TEST(times.percentile(0.99) == 99);
    BOOST_TEST(times.percentile(1) == 100);
    BOOST_TEST(times.mean() == 50.5);
    BOOST_TEST(times.shareAbove(90) == 0.1);
    std::uint64_t sum = 0;
    for (const auto &bucket : times.histogram()) {
        sum += bucket.count;
    }
    BOOST_TEST(sum == 100U);
    BOOST_TEST(distribution().percentile(0.5) == 0);
}

BOOST_AUTO_TEST_CASE(batch_efficiency_counts_a_restarted_engine_from_its_start)
{
    batch_use use;
    addUse(use, {1, 16, 100, 800, 0}, {1, 16, 150, 1'200, 0});
    BOOST_TEST(use.efficiency() == 0.5);
    addUse(use, {1, 16, 1'000, 9'000, 0}, {2, 16, 50, 800, 0});
    BOOST_TEST(use.efficiency() == 0.75);
    BOOST_TEST(!parseCounters(R"({"started_ms": 1})"));
}
