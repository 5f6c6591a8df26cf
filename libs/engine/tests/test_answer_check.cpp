#include "answer_check.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using engine::detail::answer_check;

namespace {

constexpr std::size_t maxBytes = 4096;
const std::string model = "farm/nozzle@v1";

std::string event(const std::string &text, const std::string &from = model, const std::string &id = "c1")
{
    return R"(data: {"id":")" + id + R"(","model":")" + from + R"(","choices":[{"text":")" + text + "\"}]}\n\n";
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
    const std::string stream = ": comment\n\n" + event(" a") + event(" b") + done;
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        answer_check check(model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream, size, passed).empty());
        BOOST_TEST(passed == stream);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_without_its_end_mark_is_broken_wherever_it_ends)
{
    const std::string stream = event(" a") + event(" b") + done;
    for (std::size_t length = 0; length < stream.size(); ++length) {
        answer_check check(model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream.substr(0, length), 7, passed) == "missing_end_mark");
    }
}

BOOST_AUTO_TEST_CASE(no_byte_of_a_wrong_model_passes)
{
    answer_check check(model, true, maxBytes);
    std::string passed;
    BOOST_TEST(run(check, event(" a") + event(" b", "farm/nozzle@v2") + done, 16, passed) == "wrong_model");
    BOOST_TEST(passed == event(" a"));
}

BOOST_AUTO_TEST_CASE(no_byte_of_another_answer_passes)
{
    answer_check check(model, true, maxBytes);
    std::string passed;
    BOOST_TEST(run(check, event(" a") + event(" b", model, "c2") + done, 16, passed) == "crossed_answer");
    BOOST_TEST(passed == event(" a"));
}

BOOST_AUTO_TEST_CASE(errors_garbage_and_data_after_the_end_are_refused)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"data: {\"error\":{\"code\":\"x\"}}\n\n", "engine_error"},
        {"data: {\"mod\n\n", "broken_answer"},
        {done + event(" a"), "broken_answer"},
        {event(std::string(maxBytes, 'x')), "answer_too_large"},
    };
    for (const auto &[stream, code] : cases) {
        answer_check check(model, true, maxBytes);
        std::string passed;
        BOOST_TEST(run(check, stream, 100, passed) == code);
    }
}

BOOST_AUTO_TEST_CASE(a_plain_answer_is_held_back_until_it_has_been_checked)
{
    const std::string good = R"({"id":"c1","model":")" + model + R"(","choices":[]})";
    answer_check check(model, false, maxBytes);
    std::string passed;
    core::reason why;
    BOOST_TEST(check.feed(good, passed, why));
    BOOST_TEST(passed.empty());
    BOOST_TEST(check.finish(passed, why));
    BOOST_TEST(passed == good);

    for (std::size_t length = 0; length < good.size(); ++length) {
        answer_check cut(model, false, maxBytes);
        std::string nothing;
        BOOST_TEST(run(cut, good.substr(0, length), 9, nothing) == "broken_answer");
        BOOST_TEST(nothing.empty());
    }
    answer_check other("base-8b", false, maxBytes);
    BOOST_TEST(run(other, good, 9, passed) == "wrong_model");
}
