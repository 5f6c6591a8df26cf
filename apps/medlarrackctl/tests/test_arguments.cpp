#include "arguments.hpp"
#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

/// One run of the program with these arguments.
struct ctl_run
{
    explicit ctl_run(std::vector<const char *> texts, const std::string &input = "")
    {
        texts.insert(texts.begin(), "medlarrackctl");
        const auto count = static_cast<int>(texts.size());
        texts.push_back(nullptr);
        std::istringstream in(input);
        parsed = parseArguments(count, texts.data(), "1.2.3", out, err, code);
        if (parsed) {
            code = runCommand(*parsed, in, out, err);
        }
    }

    std::optional<arguments> parsed;
    std::ostringstream out;
    std::ostringstream err;
    int code = -1;
};

} // namespace

BOOST_AUTO_TEST_CASE(wrong_command_lines_are_told_and_exit_with_2)
{
    for (const auto &texts : std::vector<std::vector<const char *>>{{},
                                                                    {"dance"},
                                                                    {"--dance"},
                                                                    {"state"},
                                                                    {"state", "a", "b"},
                                                                    {"explain", "id"},
                                                                    {"check-ticket"},
                                                                    {"check-settings", "entry"},
                                                                    {"check-settings", "engine", "file"},
                                                                    {"hash-key", "nodot"},
                                                                    {"hash-key", "op."}}) {
        const ctl_run run(texts);
        BOOST_TEST(run.code == daemon::exitUsage);
        BOOST_TEST(!run.err.str().empty());
        BOOST_TEST(run.out.str().empty());
    }
}

BOOST_AUTO_TEST_CASE(the_version_is_printed)
{
    const ctl_run run({"--version"});
    BOOST_TEST(run.code == daemon::exitOk);
    BOOST_TEST(run.out.str() == "medlarrackctl 1.2.3\n");
}

BOOST_AUTO_TEST_CASE(options_and_operands_are_taken_in_any_order)
{
    const ctl_run run({"explain", "order-17", "--url", "http://127.0.0.1:1", "-u", "http://127.0.0.1:2"});
    BOOST_REQUIRE(run.parsed);
    BOOST_TEST(run.parsed->command == "explain");
    BOOST_TEST((run.parsed->urls == std::vector<std::string>{"http://127.0.0.1:1", "http://127.0.0.1:2"}));
}

BOOST_AUTO_TEST_CASE(a_key_is_hashed_with_the_salt_given_also_from_standard_input)
{
    // SHA-256 of "9f3cslavonska.example" by sha256sum.
    const std::string expected =
        R"({"salt":"9f3c","sha256":"b564cd183f6627edde6a29867b36168a3980aa8a37b18a8bdf70e23ad28c0833"})"
        "\n";
    BOOST_TEST(ctl_run({"hash-key", "--salt", "9f3c", "slavonska.example"}).out.str() == expected);
    BOOST_TEST(ctl_run({"hash-key", "--salt", "9f3c", "-"}, "slavonska.example\n").out.str() == expected);
    BOOST_TEST(ctl_run({"hash-key", "slavonska.example"}).out.str()
               != ctl_run({"hash-key", "slavonska.example"}).out.str());
}

BOOST_AUTO_TEST_CASE(a_daemon_that_cannot_be_reached_is_named)
{
    const ctl_run run({"state", "http://127.0.0.1:1"});
    BOOST_TEST(run.code == daemon::exitFailure);
    BOOST_TEST(run.err.str().find("http://127.0.0.1:1: ") == 0U);
    BOOST_TEST(ctl_run({"explain", "id", "--url", "http://127.0.0.1:1"}).code == daemon::exitFailure);
}
