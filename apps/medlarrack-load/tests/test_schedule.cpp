#include "../src/arrival_schedule.hpp"
#include "../src/trace_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <sstream>

using namespace medlarrack;
using namespace medlarrack::load;
using namespace std::chrono_literals;

namespace {

load_options someOptions()
{
    load_options options;
    options.operatorName = "slavonska";
    options.adapterPrefix = "slavonska/a-";
    options.service = "pivot";
    options.duration = 100s;
    options.rate = 50;
    options.seed = 3;
    return options;
}

std::vector<planned_request> allOf(request_source &source)
{
    std::vector<planned_request> requests;
    while (auto request = source.next()) {
        requests.push_back(std::move(*request));
    }
    return requests;
}

std::vector<planned_request> scheduleOf(const load_options &options)
{
    arrival_schedule schedule(options);
    return allOf(schedule);
}

std::string mostPopular(const std::vector<planned_request> &requests, std::chrono::microseconds from,
                        std::chrono::microseconds to)
{
    std::map<std::string, int> counts;
    for (const auto &request : requests) {
        if (request.kind != request_kind::service_call && request.at >= from && request.at < to) {
            ++counts[request.model];
        }
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    return most->first;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_schedule_depends_on_the_seed_alone_and_is_in_order)
{
    auto options = someOptions();
    const auto first = scheduleOf(options);
    const auto second = scheduleOf(options);
    BOOST_REQUIRE(first.size() == second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        BOOST_TEST((first[index].at == second[index].at));
        BOOST_TEST(first[index].model == second[index].model);
        BOOST_TEST((index == 0 || first[index - 1].at <= first[index].at));
    }
    options.seed = 4;
    BOOST_TEST((scheduleOf(options).at(1).at != first.at(1).at));
}

BOOST_AUTO_TEST_CASE(rate_and_shares_come_out_as_asked)
{
    const auto requests = scheduleOf(someOptions());
    double completions = 0;
    double streams = 0;
    double calls = 0;
    double writes = 0;
    for (const auto &request : requests) {
        const bool isCall = request.kind == request_kind::service_call;
        calls += isCall ? 1 : 0;
        writes += isCall && !request.keyLabel.empty() ? 1 : 0;
        completions += isCall ? 0 : 1;
        streams += !isCall && request.stream ? 1 : 0;
    }
    // 5,000 arrivals and a tenth of a fifth of them sent again.
    BOOST_TEST(requests.size() > 4'800U);
    BOOST_TEST(requests.size() < 5'350U);
    BOOST_TEST(streams / completions > 0.45);
    BOOST_TEST(streams / completions < 0.55);
    BOOST_TEST(calls / static_cast<double>(requests.size()) > 0.17);
    BOOST_TEST(calls / static_cast<double>(requests.size()) < 0.25);
    BOOST_TEST(writes / calls > 0.45);
}

BOOST_AUTO_TEST_CASE(a_second_sending_has_the_first_ones_key_and_body_and_another_entry)
{
    auto options = someOptions();
    options.resendShare = 1;
    std::map<std::string, std::vector<planned_request>> byKey;
    for (auto &request : scheduleOf(options)) {
        if (!request.keyLabel.empty()) {
            byKey[request.keyLabel].push_back(std::move(request));
        }
    }
    BOOST_REQUIRE(byKey.size() > 100U);
    for (const auto &[label, sendings] : byKey) {
        BOOST_REQUIRE(sendings.size() == 2U);
        BOOST_TEST(sendings[0].body == sendings[1].body);
        BOOST_TEST(sendings[0].entry + 1 == sendings[1].entry);
        BOOST_TEST((sendings[1].at - sendings[0].at <= options.resendDelay));
    }
}

BOOST_AUTO_TEST_CASE(popularity_follows_zipf_and_moves_at_each_shift)
{
    std::mt19937_64 random(5);
    const zipf popularity(1'000, 1.0);
    std::vector<int> counts(1'000);
    constexpr int draws = 100'000;
    for (int draw = 0; draw < draws; ++draw) {
        ++counts[popularity.draw(random)];
    }
    // The harmonic number of 1,000 is 7.49.
    BOOST_TEST(counts[0] > draws / 7.49 * 0.95);
    BOOST_TEST(counts[0] < draws / 7.49 * 1.05);
    BOOST_TEST(counts[9] > draws / 74.9 * 0.85);
    BOOST_TEST(counts[9] < draws / 74.9 * 1.15);

    auto options = someOptions();
    options.shift = 50s;
    const auto requests = scheduleOf(options);
    BOOST_TEST(mostPopular(requests, 0s, 50s) == "slavonska/a-0");
    BOOST_TEST(mostPopular(requests, 50s, 100s) != "slavonska/a-0");
}

BOOST_AUTO_TEST_CASE(a_trace_is_read_in_order_of_time_with_resends_through_the_next_entry)
{
    std::istringstream input("# doubled start\n"
                             R"({"at_ms": 500, "resend_of": "start", "expect": ["ran", "not_run"]})"
                             "\n");
    core::reason why;
    BOOST_TEST(!readTrace(input, someOptions(), why));
    BOOST_TEST(why.message == "line 2, field 'resend_of': expected the id of an earlier line");

    std::istringstream good(
        R"({"at_ms": 200, "id": "start", "service": "pivot", "path": "/start", "body": "{}", "key": "k", "entry": 0})"
        "\n\n"
        R"({"at_ms": 500, "resend_of": "start", "expect": ["ran", "not_run"]})"
        "\n"
        R"({"at_ms": 100, "model": "tuul/round@v2", "class": "bulk", "max_tokens": 9, "stream": true, "chat": true})"
        "\n");
    const auto requests = readTrace(good, someOptions(), why);
    BOOST_REQUIRE(requests.has_value());
    BOOST_REQUIRE(requests->size() == 3U);
    BOOST_TEST((requests->at(0).kind == request_kind::chat));
    BOOST_TEST(requests->at(0).maxTokens == 9U);
    BOOST_TEST((requests->at(0).priority == core::request_class::bulk));
    BOOST_TEST(requests->at(2).keyLabel == "k");
    BOOST_TEST(requests->at(2).body == "{}");
    BOOST_TEST(requests->at(2).entry == 1U);
    BOOST_TEST(requests->at(2).expected.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_bad_trace_line_is_named)
{
    for (const char *line :
         {"{", "[]", R"({"at_ms": -1, "model": "m"})", R"({"model": "m", "service": "s"})", R"({"at_ms": 1})",
          R"({"model": "m", "speed": 3})", R"({"model": 3})", R"({"model": "m", "class": "urgent"})",
          R"({"service": "s", "path": "start"})", R"({"model": "m", "expect": ["maybe"]})"}) {
        std::istringstream input(line);
        core::reason why;
        BOOST_TEST(!readTrace(input, someOptions(), why), line);
        BOOST_TEST(why.message.starts_with("line 1"), why.message);
    }
}
