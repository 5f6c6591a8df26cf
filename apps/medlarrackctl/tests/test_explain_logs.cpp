#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace medlarrack;

namespace {

const std::string logText =
    R"(edge-1 {"time":"2026-12-04T01:00:00.000Z","program":"medlarrack-gateway","message":"replica listed","replica":"i-1"}
edge-1 {"time":"2026-12-04T01:00:08.000Z","program":"medlarrack-gateway","message":"store lost","why":"timeout"}
side-1 {"time":"2026-12-04T01:00:09.500Z","program":"medlarrack-agent","message":"load ordered","adapter":"m/a1"}
side-1 {"time":"2026-12-04T01:00:09.500Z","program":"medlarrack-agent","message":"load ordered","adapter":"m/other"}
edge-1 {"time":"2026-12-04T01:00:10.000Z","program":"medlarrack-gateway","message":"request sent on","request_id":"id1","replica":"i-1","why":"reset"}
edge-1 {"time":"2026-12-04T01:00:10.500Z","program":"medlarrack-gateway","message":"request ended","request_id":"id1","replica":"i-2","adapter":"m/a1","ms":900}
edge-1 {"time":"2026-12-04T01:00:10.500Z","program":"medlarrack-gateway","message":"request ended","request_id":"id2","replica":"i-2"}
edge-2 {"time":"2026-12-04T01:00:09.000Z","program":"medlarrack-gateway","instance":"edge-2","message":"agent link lost","replica":"i-1"}
not a line of ours {
)";

int explain(const std::string &id, std::string &out, std::string &err)
{
    std::istringstream in(logText);
    std::ostringstream outStream;
    std::ostringstream errStream;
    const int code = ctl::explainFromLogs(id, {"-"}, in, outStream, errStream);
    out = outStream.str();
    err = errStream.str();
    return code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_logs)

BOOST_AUTO_TEST_CASE(a_request_is_shown_with_what_was_learnt_of_its_replicas_and_adapter)
{
    std::string out;
    std::string err;
    BOOST_TEST(explain("id1", out, err) == daemon::exitOk);
    BOOST_TEST(out.find("store lost") < out.find("load ordered"));
    BOOST_TEST(out.find("load ordered") < out.find("* 2026-12-04T01:00:10.000Z"));
    BOOST_TEST(out.find("m/other") == std::string::npos);
    BOOST_TEST(out.find("id2") == std::string::npos);
    BOOST_TEST(out.find("agent link lost") == std::string::npos);
    // Learnt more than five seconds before.
    BOOST_TEST(out.find("replica listed") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_request_and_a_missing_file_are_said)
{
    std::string out;
    std::string err;
    BOOST_TEST(explain("id9", out, err) == daemon::exitFailure);
    BOOST_TEST(err.find("no line of the 8 read names request id9") != std::string::npos);
    std::istringstream in;
    std::ostringstream stream;
    std::ostringstream errors;
    BOOST_TEST(ctl::explainFromLogs("id1", {"/nowhere/log"}, in, stream, errors) == daemon::exitFailure);
    BOOST_TEST(errors.str().find("/nowhere/log") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
