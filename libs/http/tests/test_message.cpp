#include <medlarrack/http/message.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::http;

BOOST_AUTO_TEST_CASE(header_names_have_no_case)
{
    const header_list headers = {{"Content-Type", "text/plain"}, {"X-A", "1"}, {"x-a", "2"}};
    BOOST_TEST(findHeader(headers, "content-type").value() == "text/plain");
    BOOST_TEST(findHeader(headers, "X-A").value() == "1");
    BOOST_TEST(!findHeader(headers, "X-B"));
}

BOOST_AUTO_TEST_CASE(a_query_is_split_and_decoded)
{
    request received;
    received.target = "/v1/changes?after=3&name=a%2Fb+c&empty&bad=%zz";
    BOOST_TEST(received.path() == "/v1/changes");
    BOOST_TEST(received.query("after").value() == "3");
    BOOST_TEST(received.query("name").value() == "a/b c");
    BOOST_TEST(received.query("empty").value().empty());
    BOOST_TEST(received.query("bad").value() == "%zz");
    BOOST_TEST(!received.query("wait_ms"));
}
