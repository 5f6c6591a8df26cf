#include <medlarrack/http1/message_parser.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace medlarrack::http1;

namespace {

constexpr std::size_t headLimit = 1'024;

parse_state stateAfter(message_kind kind, std::string_view bytes)
{
    message_parser parser(kind, headLimit);
    parser.feed(bytes);
    return parser.state();
}

const std::vector<std::string> &hidingRequests()
{
    static const std::vector<std::string> requests = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01z\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n X y\r\n\r\nGET",
        "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
        "no request at all\r\n\r\n",
    };
    return requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_parser_suite)

BOOST_DATA_TEST_CASE(a_request_that_could_hide_another_is_malformed, hidingRequests(), request)
{
    BOOST_TEST((stateAfter(message_kind::request, request) == parse_state::malformed));
}

BOOST_AUTO_TEST_CASE(a_request_in_single_bytes_is_parsed_whole)
{
    message_parser parser(message_kind::request, headLimit);
    const std::string text =
        "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (const char byte : text) {
        BOOST_TEST(parser.feed({&byte, 1}) == 1U);
    }
    BOOST_TEST((parser.state() == parse_state::complete));
    BOOST_TEST(parser.head().method == "POST");
    BOOST_TEST(parser.head().target == "/a/b?c=d");
    BOOST_TEST(parser.head().value("host") == "x");
    BOOST_TEST(parser.body() == "abc");
    BOOST_TEST(parser.keepsAlive());
}

BOOST_AUTO_TEST_CASE(bytes_behind_a_request_are_left_for_the_next_one)
{
    message_parser parser(message_kind::request, headLimit);
    const std::string first = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string both = first + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
    BOOST_TEST(parser.feed(both) == first.size());
    BOOST_TEST(parser.head().target == "/1");
    parser.reset();
    BOOST_TEST(!parser.started());
    parser.feed(std::string_view(both).substr(first.size()));
    BOOST_TEST(parser.head().target == "/2");
}

BOOST_AUTO_TEST_CASE(a_head_beyond_the_limit_is_too_long_before_and_after_its_end)
{
    const std::string endless = "GET / HTTP/1.1\r\nX: " + std::string(headLimit, 'a');
    BOOST_TEST((stateAfter(message_kind::request, endless) == parse_state::head_too_long));
    BOOST_TEST((stateAfter(message_kind::request, endless + "\r\n\r\n") == parse_state::head_too_long));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_stream)
{
    message_parser parser(message_kind::response, headLimit);
    parser.feed("HTTP/1.1 200 OK\r\n\r\npart");
    BOOST_TEST((parser.state() == parse_state::body));
    BOOST_TEST(parser.endsWithStream());
    BOOST_TEST((parser.finish() == parse_state::complete));
    BOOST_TEST(!parser.keepsAlive());
}

BOOST_AUTO_TEST_CASE(an_answer_shorter_than_its_length_is_not_complete_at_the_end_of_its_stream)
{
    message_parser parser(message_kind::response, headLimit);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    BOOST_TEST((parser.finish() == parse_state::body));
    message_parser chunked(message_kind::response, headLimit);
    chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    BOOST_TEST((chunked.finish() == parse_state::body));
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_has_no_body)
{
    message_parser parser(message_kind::response, headLimit);
    parser.reset(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    BOOST_TEST((parser.state() == parse_state::complete));
}

BOOST_AUTO_TEST_CASE(a_token_is_found_in_a_list_whatever_its_case)
{
    BOOST_TEST(listsToken("keep-alive, Foo ,x", "foo"));
    BOOST_TEST(!listsToken("keep-alive, Food", "foo"));
    BOOST_TEST(isHopByHop("Connection"));
    BOOST_TEST(!isHopByHop("Content-Type"));
}

// Guards against reading without end what belongs to no body.
BOOST_AUTO_TEST_CASE(extensions_and_trailers_of_requests_are_bounded)
{
    for (const std::string start : {"1;a=", "1\r\nx\r\n0\r\nName: "}) {
        message_parser parser(message_kind::request, headLimit);
        parser.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        parser.feed(start + std::string(900, 'e'));
        BOOST_TEST((parser.state() == parse_state::body));
        parser.feed(std::string(400, 'e'));
        BOOST_TEST((parser.state() == parse_state::malformed));
    }
}

// Guards against the same bound for bodies in many small chunks with extensions.
BOOST_AUTO_TEST_CASE(a_body_in_one_byte_chunks_is_within_the_bounds)
{
    message_parser parser(message_kind::request, headLimit);
    parser.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int index = 0; index < 5'000; ++index) {
        parser.feed("00000001;signature=" + std::string(64, 's') + "\r\nx\r\n");
    }
    parser.feed("0\r\n\r\n");
    BOOST_TEST((parser.state() == parse_state::complete));
    BOOST_TEST(parser.body().size() == 5'000U);
}

// Guards against collecting a body whose head states that it is too long.
BOOST_AUTO_TEST_CASE(a_parser_tells_how_much_of_a_body_is_to_come)
{
    message_parser parser(message_kind::request, headLimit);
    parser.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1073741824\r\n\r\nbody");
    BOOST_TEST(parser.announcedBytes() == 1'073'741'820U);
    message_parser chunked(message_kind::request, headLimit);
    chunked.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo");
    BOOST_TEST(chunked.announcedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
