#include "http_fixture.hpp"
#include "raw_peer.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::http;
using namespace medlarrack::http::test;
using namespace std::chrono_literals;

namespace {

/// Answers with the body received.
void echo(const request &received, const std::shared_ptr<responder> &answer)
{
    answer->respond(200, {{"Content-Type", "text/plain"}}, received.body);
}

std::string post(const std::string &body)
{
    return "POST /echo HTTP/1.1\r\nHost: here\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, http_fixture)

BOOST_AUTO_TEST_CASE(a_whole_answer_arrives_whole)
{
    const auto server = serve([](const request &received, const std::shared_ptr<responder> &answer) {
        answer->respond(201, {{"X-Seen", received.method + " " + received.target}}, received.body);
    });
    const std::string body(300'000, 'x');
    const auto record = run({"PUT", urlOf(server->port(), "/a?b=c"), {{"X-Empty", ""}}, body});
    BOOST_TEST((record.result->progress == client_progress::complete));
    BOOST_TEST(record.result->status == 201);
    BOOST_TEST(findHeader(record.result->headers, "x-seen").value() == "PUT /a?b=c");
    BOOST_TEST((record.body == body));
}

BOOST_AUTO_TEST_CASE(a_stream_arrives_piece_by_piece)
{
    std::shared_ptr<responder> kept;
    const auto server = serve([&](const request &, std::shared_ptr<responder> answer) {
        answer->begin(200, {{"Content-Type", "text/event-stream"}});
        answer->write("data: 1\n\n");
        note([&] {
            kept = std::move(answer);
        });
    });
    exchange_record record;
    client_callbacks callbacks;
    callbacks.onData = [&](std::string_view piece) {
        note([&] {
            record.body += piece;
        });
    };
    callbacks.onEnd = [&](const client_result &result) {
        note([&] {
            record.result = result;
        });
    };
    caller.start({"GET", urlOf(server->port(), "/stream")}, callbacks);
    // The first piece arrives before the second is written.
    waitFor([&] {
        return record.body == "data: 1\n\n" && kept;
    });
    kept->write("data: [DONE]\n\n");
    kept->end();
    waitFor([&] {
        return record.result.has_value();
    });
    BOOST_TEST(record.body == "data: 1\n\ndata: [DONE]\n\n");
    BOOST_TEST((record.result->progress == client_progress::complete));
}

BOOST_AUTO_TEST_CASE(pieces_written_from_another_thread_keep_their_order)
{
    constexpr int pieces = 5'000;
    std::string expected;
    for (int i = 0; i < pieces; ++i) {
        expected += std::to_string(i) + ";";
    }
    std::thread writer;
    const auto server = serve([&](const request &, const std::shared_ptr<responder> &answer) {
        writer = std::thread([answer] {
            answer->begin(200, {});
            for (int i = 0; i < pieces; ++i) {
                answer->write(std::to_string(i) + ";");
            }
            answer->end();
        });
    });
    const auto record = run({"GET", urlOf(server->port(), "/")});
    writer.join();
    BOOST_TEST((record.result->progress == client_progress::complete));
    BOOST_TEST((record.body == expected));
}

BOOST_AUTO_TEST_CASE(a_broken_off_stream_is_never_complete)
{
    const auto server = serve([](const request &received, const std::shared_ptr<responder> &answer) {
        answer->begin(200, {});
        answer->write("some");
        if (received.path() == "/abort") {
            answer->abort();
        }
        // Otherwise the responder is dropped without an end.
    });
    for (const char *path : {"/abort", "/drop"}) {
        const auto record = run({"GET", urlOf(server->port(), path)});
        BOOST_TEST(record.body == "some");
        BOOST_TEST((record.result->progress == client_progress::sent));
        BOOST_TEST(record.result->errorCode == "broken_answer");
    }
}

BOOST_AUTO_TEST_CASE(a_dropped_responder_closes_the_connection)
{
    const auto server = serve([](const request &, const std::shared_ptr<responder> &) {});
    const auto record = run({"POST", urlOf(server->port(), "/")});
    BOOST_TEST((record.result->progress == client_progress::sent));
    BOOST_TEST(record.result->errorCode == "broken_answer");
}

BOOST_AUTO_TEST_CASE(a_body_or_header_beyond_its_limit_is_refused)
{
    server_limits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 500;
    const auto server = serve(echo, limits);
    BOOST_TEST(run({"POST", urlOf(server->port(), "/"), {}, std::string(1000, 'x')}).result->status == 200);
    BOOST_TEST(run({"POST", urlOf(server->port(), "/"), {}, std::string(1001, 'x')}).result->status == 413);
    BOOST_TEST(run({"POST", urlOf(server->port(), "/"), {}, std::string(5'000'000, 'x')}).result->status == 413);
    raw_connection chunked(server->port());
    chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x'));
    BOOST_TEST(chunked.receiveAll().starts_with("HTTP/1.1 413 "));
    BOOST_TEST(run({"GET", urlOf(server->port(), "/"), {{"X", std::string(600, 'x')}}}).result->status == 431);
    const std::string half(300, 'x');
    BOOST_TEST(run({"GET", urlOf(server->port(), "/"), {{"X", half}, {"Y", half}}}).result->status == 431);
    BOOST_TEST(run({"GET", urlOf(server->port(), "/"), {{"X", std::string(200'000, 'x')}}}).result->status == 431);
    BOOST_TEST(run({"GET", urlOf(server->port(), "/" + std::string(600, 'x'))}).result->status == 431);
}

BOOST_AUTO_TEST_CASE(garbage_is_answered_and_others_notice_nothing)
{
    const auto server = serve(echo);
    raw_connection garbage(server->port());
    garbage.send("\x16\x03\x01 nothing of HTTP\r\n\r\n");
    BOOST_TEST(garbage.receiveAll().starts_with("HTTP/1.1 400 "));
    BOOST_TEST((run({"POST", urlOf(server->port(), "/"), {}, "a"}).body == "a"));
}

BOOST_AUTO_TEST_CASE(garbage_behind_a_request_in_progress_is_not_taken_for_its_answer)
{
    std::shared_ptr<responder> kept;
    const auto server = serve([&](const request &, std::shared_ptr<responder> answer) {
        note([&] {
            kept = std::move(answer);
        });
    });
    raw_connection connection(server->port());
    connection.send(post("a") + "garbage\r\n\r\n");
    BOOST_TEST(connection.receiveAll().empty());
    waitFor([&] {
        return kept != nullptr;
    });
    kept->respond(200, {}, "late");
}

// Guards against an idle connection that is closed at a time that its caller wasn't told, so that a request crosses the
// close.
BOOST_AUTO_TEST_CASE(responses_state_for_how_long_their_connection_can_be_used_again)
{
    const auto server = serve([](const request &received, const std::shared_ptr<responder> &answer) {
        if (received.path() == "/stream") {
            answer->begin(200, {});
            answer->end();
        } else {
            answer->respond(200, {{"Keep-Alive", "timeout=900"}}, "");
        }
    });
    for (const char *path : {"/", "/stream"}) {
        const auto record = run({"GET", urlOf(server->port(), path)});
        // Of the 10 s for which idle connections are kept by default.
        BOOST_TEST(findHeader(record.result->headers, "Keep-Alive").value_or("") == "timeout=8");
        const auto last = run({"GET", urlOf(server->port(), path), {{"Connection", "close"}}});
        BOOST_TEST(!findHeader(last.result->headers, "Keep-Alive").has_value());
    }
}

// Guards against an idle connection that is closed before the time that its caller was told.
BOOST_AUTO_TEST_CASE(an_idle_connection_outlasts_what_its_caller_was_told)
{
    server_limits limits;
    limits.readTimeout = 1ms;
    const auto server = serve(echo, limits);
    raw_connection connection(server->port());
    connection.send(post("first"));
    BOOST_TEST(connection.receiveUntil("first").find("Keep-Alive: timeout=1\r\n") != std::string::npos);
    std::this_thread::sleep_for(1s);
    connection.send(post("second"));
    BOOST_TEST(connection.receiveUntil("second").ends_with("second"));
}

BOOST_AUTO_TEST_CASE(a_truncated_body_reaches_no_handler)
{
    bool handled = false;
    server_limits limits;
    limits.readTimeout = 200ms;
    const auto server = serve(
        [&](const request &received, const std::shared_ptr<responder> &answer) {
            note([&] {
                handled = true;
            });
            echo(received, answer);
        },
        limits);
    raw_connection left(server->port());
    left.send("POST /echo HTTP/1.1\r\nHost: here\r\nContent-Length: 10\r\n\r\nhalf");
    left.close();
    // A slow sender is closed by the read timeout.
    raw_connection slow(server->port());
    slow.send("POST /echo HTTP/1.1\r\nHost: here\r\nContent-Length: 10\r\n\r\nhalf");
    BOOST_TEST(slow.receiveAll().empty());
    BOOST_TEST(!handled);
}

BOOST_AUTO_TEST_CASE(a_slow_reader_is_broken_off)
{
    bool closed = false;
    server_limits limits;
    limits.maxBufferedBytes = 100'000;
    const auto server = serve(
        [&](const request &, const std::shared_ptr<responder> &answer) {
            answer->begin(200, {});
            answer->onClosed([&, answer] {
                note([&] {
                    closed = true;
                });
            });
            // More than the system's own buffers take.
            const std::string piece(50'000, 'x');
            for (int i = 0; i < 400; ++i) {
                answer->write(piece);
            }
        },
        limits);
    raw_connection reader(server->port());
    reader.send(post(""));
    waitFor([&] {
        return closed;
    });
    BOOST_TEST(reader.receiveAll().find("\r\n0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_closed_at_once)
{
    server_limits limits;
    limits.maxConnections = 1;
    const auto server = serve(echo, limits);
    raw_connection first(server->port());
    first.send(post("a"));
    BOOST_TEST(first.receiveUntil("\r\n\r\na").ends_with("a"));
    raw_connection second(server->port());
    BOOST_TEST(second.receiveAll().empty());
    first.send(post("b"));
    BOOST_TEST(first.receiveUntil("\r\n\r\nb").ends_with("b"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_reported)
{
    bool closed = false;
    std::shared_ptr<responder> kept;
    const auto server = serve([&](const request &, std::shared_ptr<responder> answer) {
        answer->onClosed([&] {
            note([&] {
                closed = true;
            });
        });
        note([&] {
            kept = std::move(answer);
        });
    });
    raw_connection connection(server->port());
    connection.send(post("a"));
    waitFor([&] {
        return kept != nullptr;
    });
    connection.close();
    waitFor([&] {
        return closed;
    });
    kept->respond(200, {}, "nobody reads this");
}

BOOST_AUTO_TEST_CASE(a_server_that_stops_accepting_finishes_what_it_has)
{
    std::shared_ptr<responder> kept;
    const auto server = serve([&](const request &, std::shared_ptr<responder> answer) {
        note([&] {
            kept = std::move(answer);
        });
    });
    raw_connection connection(server->port());
    connection.send(post("a"));
    waitFor([&] {
        return kept != nullptr;
    });
    server->stopAccepting();
    const auto refused = run({"GET", urlOf(server->port(), "/")});
    BOOST_TEST((refused.result->progress == client_progress::not_sent));
    kept->respond(200, {}, "done");
    BOOST_TEST(connection.receiveUntil("done").ends_with("done"));
    server->stop();
    BOOST_TEST(connection.receiveAll().empty());
}

// Guards against a caller that sends its next request on a connection whose server is about to end.
BOOST_AUTO_TEST_CASE(a_server_that_stops_accepting_states_the_end_of_its_connections)
{
    std::vector<std::shared_ptr<responder>> kept;
    const auto server = serve([&](const request &, std::shared_ptr<responder> answer) {
        note([&] {
            kept.push_back(std::move(answer));
        });
    });
    raw_connection whole(server->port());
    raw_connection streamed(server->port());
    whole.send(post("a"));
    waitFor([&] {
        return kept.size() == 1;
    });
    streamed.send(post("a"));
    waitFor([&] {
        return kept.size() == 2;
    });
    server->stopAccepting();
    kept[0]->respond(200, {}, "done");
    kept[1]->begin(200, {});
    kept[1]->write("done");
    kept[1]->end();
    // Until the server closes, without a stop.
    for (raw_connection *connection : {&whole, &streamed}) {
        const std::string answer = connection->receiveAll();
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
        BOOST_TEST(answer.find("Keep-Alive") == std::string::npos);
        BOOST_TEST(answer.find("done") != std::string::npos);
    }
}

// Guards against a listener that is closed while a thread of the event loop accepts; needs the thread sanitizer.
BOOST_AUTO_TEST_CASE(a_server_ends_while_callers_connect)
{
    constexpr int lives = 1'000;
    constexpr int callers = 2;
    std::atomic<std::uint16_t> port{0};
    std::atomic<int> connected{0};
    std::atomic<bool> done{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            asio::io_context own;
            while (!done) {
                asio::ip::tcp::socket socket(own);
                asio::error_code error;
                socket.connect({asio::ip::address_v4::loopback(), port}, error);
                connected += error ? 0 : 1;
            }
        });
    }
    for (int life = 0; life < lives; ++life) {
        connected = 0;
        auto server = serve(echo);
        port = server->port();
        while (connected < 1 + life % 5) { }
        if (life % 2 == 0) {
            server->stopAccepting();
        }
        server.reset();
    }
    done = true;
    for (auto &thread : threads) {
        thread.join();
    }
}

// Guards against a server that can't be ended by a handler of its own.
BOOST_AUTO_TEST_CASE(a_handler_ends_its_server)
{
    std::unique_ptr<server> ended;
    ended = serve([&](const request &, const std::shared_ptr<responder> &) {
        note([&] {
            ended.reset();
        });
    });
    raw_connection connection(ended->port());
    connection.send(post("a"));
    BOOST_TEST(connection.receiveAll().empty());
    waitFor([&] {
        return ended == nullptr;
    });
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_a_reason)
{
    const auto first = serve(echo);
    server second(context, {}, echo);
    core::reason why;
    BOOST_TEST(!second.start("127.0.0.1", first->port(), why));
    BOOST_TEST(why.code == "cannot_listen");
}

BOOST_AUTO_TEST_SUITE_END()
