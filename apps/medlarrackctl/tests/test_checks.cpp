#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

/// A file that is removed at the end.
class temporary_file
{
public:
    temporary_file(const std::string &name, const std::string &text)
        : m_path(std::filesystem::temp_directory_path() / ("medlarrackctl-" + std::to_string(getpid()) + "-" + name))
    {
        std::ofstream(m_path) << text;
    }
    ~temporary_file()
    {
        std::error_code ignored;
        std::filesystem::remove(m_path, ignored);
    }
    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;

    [[nodiscard]] std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

struct check_result
{
    int code = -1;
    std::string out;
    std::string err;
};

check_result check(const std::vector<std::string> &paths)
{
    std::ostringstream out;
    std::ostringstream err;
    check_result result;
    result.code = checkTickets(paths, out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}

check_result checkText(const std::string &program, const std::string &text)
{
    const temporary_file file("settings.json", text);
    std::ostringstream out;
    std::ostringstream err;
    check_result result;
    result.code = checkSettings(program, file.path(), out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_example_tickets_are_valid)
{
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(MEDLARRACK_EXAMPLES "/tickets")) {
        paths.push_back(entry.path().string());
    }
    BOOST_REQUIRE(!paths.empty());
    const auto result = check(paths);
    BOOST_TEST(result.code == daemon::exitOk);
    BOOST_TEST(result.err == "");
}

BOOST_AUTO_TEST_CASE(every_fault_of_a_ticket_is_told_with_file_line_and_pointer)
{
    const temporary_file bad("bad.json", R"({
  "ticket": 7,
  "groups": {
    "assistant": {
      "slots": 0,
      "colour": "red"
    }
  }
})");
    const auto result = check({bad.path()});
    BOOST_TEST(result.code == daemon::exitSettings);
    BOOST_TEST(result.out == "");
    BOOST_TEST(result.err.find(bad.path() + ":5: /groups/assistant/slots: expected an integer from 1 to 4096")
               != std::string::npos);
    BOOST_TEST(result.err.find(bad.path() + ":6: /groups/assistant/colour: unknown key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(broken_json_is_told_with_line_and_column)
{
    const temporary_file bad("broken.json", "{\n  \"ticket\": 7,\n}");
    const auto result = check({bad.path()});
    BOOST_TEST(result.code == daemon::exitSettings);
    BOOST_TEST(result.err.find(bad.path() + ":3:1: ") == 0U);
}

BOOST_AUTO_TEST_CASE(a_ticket_with_comments_is_refused_as_the_daemons_would)
{
    const temporary_file bad("comment.json", "{\n  \"ticket\": 7 // seven\n}");
    BOOST_TEST(check({bad.path()}).code == daemon::exitSettings);
}

BOOST_AUTO_TEST_CASE(two_tickets_with_one_number_are_told)
{
    const temporary_file first("first.json", R"({"ticket": 7})");
    const temporary_file second("second.json", R"({"ticket": 7, "groups": {"g": {}}})");
    const auto result = check({first.path(), second.path()});
    BOOST_TEST(result.code == daemon::exitSettings);
    BOOST_TEST(result.err.find("number 7 is also that of") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_file_that_is_not_there_is_told)
{
    const auto result = check({"/nonexistent/ticket.json"});
    BOOST_TEST(result.code == daemon::exitSettings);
    BOOST_TEST(result.err.find("/nonexistent/ticket.json: ") == 0U);
}

BOOST_AUTO_TEST_CASE(the_example_settings_are_valid)
{
    const std::vector<std::pair<std::string, std::string>> examples{{"agent", "agent.json"},
                                                                    {"entry", "entry.json"},
                                                                    {"gateway", "gateway.json"},
                                                                    {"sidecar", "sidecar-engine.json"},
                                                                    {"sidecar", "sidecar-service.json"}};
    for (const auto &[program, file] : examples) {
        std::ostringstream out;
        std::ostringstream err;
        BOOST_TEST(checkSettings(program, MEDLARRACK_EXAMPLES "/" + file, out, err) == daemon::exitOk, err.str());
        BOOST_TEST(err.str() == "");
    }
}

BOOST_AUTO_TEST_CASE(settings_of_an_unknown_program_are_a_usage_error)
{
    const auto result = checkText("engine", "{}");
    BOOST_TEST(result.code == daemon::exitUsage);
    BOOST_TEST(result.err.find("expected agent, entry, gateway or sidecar, found \"engine\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_wrong_address_of_a_gateway_is_told_with_line_and_pointer)
{
    const auto result = checkText("gateway", "{\n  \"name\": \"gateway-0\",\n  \"callers\": \"127.0.0.1\"\n}");
    BOOST_TEST(result.code == daemon::exitSettings);
    BOOST_TEST(result.err.find(":3: /callers: '127.0.0.1' is no IPv4 address with a port") != std::string::npos,
               result.err);
}

BOOST_AUTO_TEST_CASE(faults_of_settings_are_told_with_line_and_pointer)
{
    for (const char *program : {"agent", "entry", "gateway", "sidecar"}) {
        const auto result = checkText(program, "// settings\n{\n  \"no_such_key\": 1\n}\n");
        BOOST_TEST(result.code == daemon::exitSettings);
        BOOST_TEST(result.err.find(":3: /no_such_key: ") != std::string::npos, result.err);
        BOOST_TEST(checkText(program, "{\n").code == daemon::exitSettings);
    }
}
