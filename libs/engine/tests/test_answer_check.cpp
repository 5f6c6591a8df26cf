#include "answer_check.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using engine::detail::answer_check;

namespace {

constexpr std::size_t maxBytes = 4096;
const std::string model = "farm/nozzle@v1";

const std::string request = "r1";

std::string event(const std::string &text, const std::string &from = model, const std::string &id = request)
{
    return R"(data: {"id":")" + id + R"(","model":")" + from + R"(","choices":[{"text":")" + text + "\"}]}\n\n";
}

std::string lastEvent(const std::string &text)
{
    return R"(data: {"id":"cmpl-r1","model":")" + model + R"(","choices":[{"text":")" + text
        + "\",\"finish_reason\":\"length\"}]}\n\n";
}

std::string numberedEvent(int token)
{
    return R"(data: {"id":"r1","token":)" + std::to_string(token) + R"(,"model":")" + model + "\"}\n\n";
}

const std::string done = "data: [DONE]\n\n";

/// Feeds a stream in pieces of a size; returns the code of the first reason, or an empty text.
std::string run(answer_check &check, std::string_view stream, std::size_t pieceSize, std::string &passed)
{
    core::reason why;
    while (!stream.empty()) {
        if (!check.feed(stream.substr(0, pieceSize), passed, why)) {
            return why.code;
        }
        stream.remove_prefix(std::min(pieceSize, stream.size()));
    }
    return check.finish(passed, why) ? "" : why.code;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_whole_stream_passes_unchanged_however_it_is_cut)
{
    const std::string stream = ": comment\n\n" + event(" a") + lastEvent(" b") + done;
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        answer_check check(request, model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream, size, passed).empty());
        BOOST_TEST(passed == stream);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_without_its_end_mark_is_broken_wherever_it_ends)
{
    const std::string stream = event(" a") + lastEvent(" b") + done;
    for (std::size_t length = 0; length < stream.size(); ++length) {
        answer_check check(request, model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream.substr(0, length), 7, passed) == "missing_end_mark");
    }
}

BOOST_AUTO_TEST_CASE(no_byte_of_a_wrong_model_passes)
{
    answer_check check(request, model, true, maxBytes);
    std::string passed;
    BOOST_TEST(run(check, event(" a") + event(" b", "farm/nozzle@v2") + done, 16, passed) == "wrong_model");
    BOOST_TEST(passed == event(" a"));
}

BOOST_AUTO_TEST_CASE(no_byte_of_another_answer_passes)
{
    answer_check check(request, model, true, maxBytes);
    std::string passed;
    BOOST_TEST(run(check, event(" a") + event(" b", model, "other-than-r1") + done, 16, passed) == "crossed_answer");
    BOOST_TEST(passed == event(" a"));
}

BOOST_AUTO_TEST_CASE(errors_garbage_and_data_after_the_end_are_refused)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"data: {\"error\":{\"code\":\"x\"}}\n\n", "engine_error"},
        {"data: {\"mod\n\n", "broken_answer"},
        {lastEvent(" a") + done + event(" b"), "broken_answer"},
        {event(" a") + done, "unfinished_answer"},
        {numberedEvent(0) + numberedEvent(2), "broken_answer"},
        {numberedEvent(0) + numberedEvent(1) + numberedEvent(1), "broken_answer"},
        {event(std::string(maxBytes, 'x')), "answer_too_large"},
    };
    for (const auto &[stream, code] : cases) {
        answer_check check(request, model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream, 100, passed) == code);
    }
}

BOOST_AUTO_TEST_CASE(a_plain_answer_is_held_back_until_it_has_been_checked)
{
    const std::string good = R"({"id":"r1","model":")" + model + R"(","choices":[{"finish_reason":"stop"}]})";
    answer_check check(request, model, false, maxBytes);
    std::string passed;
    core::reason why;
    BOOST_TEST(check.feed(good, passed, why));
    BOOST_TEST(passed.empty());
    BOOST_TEST(check.finish(passed, why));
    BOOST_TEST(passed == good);

    for (std::size_t length = 0; length < good.size(); ++length) {
        answer_check cut(request, model, false, maxBytes);
        std::string nothing;
        BOOST_TEST(run(cut, good.substr(0, length), 9, nothing) == "broken_answer");
        BOOST_TEST(nothing.empty());
    }
    answer_check other(request, "base-8b", false, maxBytes);
    BOOST_TEST(run(other, good, 9, passed) == "wrong_model");
}
