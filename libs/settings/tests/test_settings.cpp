#include <medlarrack/settings/document.hpp>
#include <medlarrack/settings/object_reader.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack::settings;
using namespace std::chrono_literals;

namespace {

fault_list readExample(std::string_view text)
{
    fault_list faults;
    const auto parsed = document::parse(text, faults);
    if (!parsed) {
        return faults;
    }
    std::int64_t port = 0;
    std::string level = "info";
    std::chrono::milliseconds wait = 5s;
    double share = 0.5;
    object_reader reader(parsed->root(), "", faults);
    reader.require("id");
    std::string id;
    reader.text("id", id);
    reader.object("listen", [&port](object_reader &listen) {
        listen.integer("port", port, 0, 65'535);
    });
    reader.word("level", level, {"info", "debug"});
    reader.duration("wait_ms", wait, 1ms, 10s);
    reader.number("share", share, 0, 1);
    reader.finish();
    return faults;
}

} // namespace

BOOST_AUTO_TEST_CASE(comments_are_allowed)
{
    BOOST_TEST(readExample("// a daemon\n{\"id\": \"a\" /* name */, \"listen\": {\"port\": 80}}").empty());
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once_with_their_pointers)
{
    const auto faults = readExample(
        R"({"listen": {"port": 70000, "prot": 1}, "level": "loud", "wait_ms": "5", "share": 1.5, "extra": 1})");
    const std::string text = toText(faults, "f.json");
    BOOST_TEST(faults.size() == 7U);
    BOOST_TEST(text.find("f.json: /id: is missing") != std::string::npos);
    BOOST_TEST(text.find("/listen/port: expected a whole number from 0 to 65535, found 70000") != std::string::npos);
    BOOST_TEST(text.find("/listen/prot: unknown key") != std::string::npos);
    BOOST_TEST(text.find("/level: expected one of \"debug\", \"info\", found \"loud\"") != std::string::npos);
    BOOST_TEST(text.find("/wait_ms: expected a whole number from 1 to 10000, found string") != std::string::npos);
    BOOST_TEST(text.find("/share: expected a number from 0.0 to 1.0, found 1.5") != std::string::npos);
    BOOST_TEST(text.find("/extra: unknown key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(broken_json_is_reported_with_its_line)
{
    const auto faults = readExample("{\n  \"id\": \"a\",\n  oops\n}");
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(faults.front().message.find("line 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_key_that_stands_twice_is_a_fault)
{
    const auto faults = readExample(R"({"id": "a", "id": "b"})");
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(faults.front().message == "key \"id\" stands twice in one object");
}

BOOST_AUTO_TEST_CASE(numbers_beyond_64_bits_are_out_of_range)
{
    BOOST_TEST(readExample(R"({"id": "a", "listen": {"port": 18446744073709551615}})").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_a_fault)
{
    fault_list faults;
    BOOST_TEST(!document::load("no-such-file.json", faults));
    BOOST_TEST(faults.size() == 1U);
}
