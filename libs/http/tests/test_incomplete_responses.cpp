// Responses of which libcurl's client gets only a part, or none, though the connection ends like that of a whole one.

#include "http_fixture.hpp"
#include "raw_peer.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <utility>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::http;
using namespace medlarrack::http::test;
namespace data = boost::unit_test::data;

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
/// More than the system takes for a server that doesn't read.
constexpr std::size_t uploadBytes = 67'108'864;

enum class ending {
    close,
    reset,
    /// Only the server's side ends; it reads on.
    end_side,
};

std::ostream &operator<<(std::ostream &out, ending then)
{
    static constexpr const char *names[] = {"close", "reset", "end_side"};
    return out << names[static_cast<std::size_t>(then)];
}

struct response_case
{
    const char *name;
    std::string bytes;
};

std::ostream &operator<<(std::ostream &out, const response_case &response)
{
    return out << response.name;
}

const std::vector<response_case> withoutLength = {
    {"HTTP/1.1", "HTTP/1.1 200 OK\r\n\r\npart"},
    {"HTTP/1.1, closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"},
    {"no body yet", "HTTP/1.1 200 OK\r\n\r\n"},
    {"length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart"},
    {"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
};

const std::string fields = "Content-Length: 2\r\n\r\nok";

const std::vector<response_case> withoutStatus = {
    {"000", "HTTP/1.1 000 OK\r\n" + fields},
    {"000 without a length", "HTTP/1.1 000 OK\r\n\r\nok"},
    {"001", "HTTP/1.1 001 OK\r\n" + fields},
    {"099", "HTTP/1.1 099 OK\r\n" + fields},
    {"600", "HTTP/1.1 600 OK\r\n" + fields},
    {"999", "HTTP/1.1 999 OK\r\n" + fields},
    {"2", "HTTP/1.1 2 OK\r\n" + fields},
    {"20", "HTTP/1.1 20 OK\r\n" + fields},
    {"0200", "HTTP/1.1 0200 OK\r\n" + fields},
    {"2000", "HTTP/1.1 2000 OK\r\n" + fields},
    {"negative", "HTTP/1.1 -200 OK\r\n" + fields},
    {"fraction", "HTTP/1.1 200.0 OK\r\n" + fields},
    {"words", "HTTP/1.1 OK\r\n" + fields},
    {"words behind digits", "HTTP/1.1 200OK\r\n" + fields},
    {"nothing", "HTTP/1.1\r\n" + fields},
    {"blank", "HTTP/1.1 \r\n" + fields},
    {"line ends before the status", "HTTP/1.1\r\n200 OK\r\n" + fields},
    {"line ends before the status, continued", "HTTP/1.1\r\n 200 OK\r\n" + fields},
    {"line ends behind the blank", "HTTP/1.1 \r\n200 OK\r\n" + fields},
    {"line ends inside the status", "HTTP/1.1 20\r\n0 OK\r\n" + fields},
    {"interim 000 before it", "HTTP/1.1 000 Wait\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
    {"a second status line in the head", "HTTP/1.1 200 OK\r\nHTTP/1.1 600 OK\r\n" + fields},
};

/// Reads on until the client has closed or sends nothing more.
void endSide(int descriptor)
{
    ::shutdown(descriptor, SHUT_WR);
    const timeval quietTime{.tv_sec = 0, .tv_usec = 200'000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &quietTime, sizeof(quietTime));
    std::array<char, 65'536> buffer{};
    while (::recv(descriptor, buffer.data(), buffer.size(), 0) > 0) { }
}

/// Answers as soon as the head of the request has come.
void answerEarly(asio::ip::tcp::socket socket, const std::string &bytes, ending then)
{
    const int descriptor = socket.native_handle();
    if (then == ending::reset) {
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    raw_connection connection(std::move(socket));
    connection.receiveUntil(headEnd);
    connection.send(bytes);
    if (then == ending::end_side) {
        endSide(descriptor);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_incomplete_responses, http_fixture)

// Guards against a part of a body that passes for the whole because the connection has ended during the upload.
BOOST_DATA_TEST_CASE_F(http_fixture, a_response_that_breaks_off_during_the_upload_is_broken,
                       data::make(withoutLength) * data::make({ending::close, ending::reset, ending::end_side}),
                       response, then)
{
    const raw_server peer([&](asio::ip::tcp::socket socket) {
        answerEarly(std::move(socket), response.bytes, then);
    });
    const auto record = run({"POST", urlOf(peer.port(), "/"), {}, std::string(uploadBytes, 'x')});
    BOOST_TEST((record.result->progress == client_progress::sent));
    BOOST_TEST(record.result->errorCode == "broken_answer");
}

// Guards against a correct response that is reported as broken because the upload could not be finished.
BOOST_DATA_TEST_CASE_F(http_fixture, a_whole_response_during_the_upload_is_complete,
                       data::make({ending::close, ending::reset, ending::end_side}), then)
{
    std::string body;
    std::optional<client_result> result;
    const raw_server peer([&](asio::ip::tcp::socket socket) {
        if (then == ending::reset) {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        const int descriptor = socket.native_handle();
        raw_connection connection(std::move(socket));
        connection.receiveUntil(headEnd);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        // libcurl drops what it has not read when a write fails.
        waitFor([&] {
            return body == "whole";
        });
        if (then == ending::end_side) {
            endSide(descriptor);
        }
    });
    client_callbacks callbacks;
    callbacks.onData = [&](std::string_view piece) {
        note([&] {
            body += piece;
        });
    };
    callbacks.onEnd = [&](const client_result &ended) {
        note([&] {
            result = ended;
        });
    };
    caller.start({"POST", urlOf(peer.port(), "/"), {}, std::string(uploadBytes, 'x')}, callbacks);
    waitFor([&] {
        return result.has_value();
    });
    BOOST_TEST((result->progress == client_progress::complete), result->errorMessage);
    BOOST_TEST(result->errorCode.empty());
}

// Guards against a response whose status is none, which passes for an interim one or for a final one.
BOOST_DATA_TEST_CASE_F(http_fixture, a_response_without_a_valid_status_is_broken, data::make(withoutStatus), response)
{
    const raw_server peer([&](asio::ip::tcp::socket socket) {
        raw_connection connection(std::move(socket));
        connection.receiveUntil(headEnd);
        connection.send(response.bytes);
    });
    const auto record = run({"POST", urlOf(peer.port(), "/"), {}, "body"});
    BOOST_TEST((record.result->progress == client_progress::sent));
    BOOST_TEST(record.result->errorCode == "broken_answer");
    BOOST_TEST(record.result->status == 0);
    BOOST_TEST(record.headStatus == 0);
    BOOST_TEST(record.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()
