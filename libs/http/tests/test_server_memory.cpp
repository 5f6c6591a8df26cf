#include "http_fixture.hpp"
#include "raw_peer.hpp"

#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/overload/shared_byte_account.hpp>

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

constexpr std::size_t longestBody = 100'000;

struct memory_fixture : http_fixture
{
    core::system_clock clock;
    std::shared_ptr<overload::shared_byte_account> account =
        std::make_shared<overload::shared_byte_account>(150'000, longestBody, 4'096, clock, nullptr);
    std::atomic<int> handled{0};

    std::unique_ptr<server> serveCounted()
    {
        server_limits limits;
        limits.maxBodyBytes = longestBody;
        limits.budget = account;
        return serve(
            [this](const request &received, const std::shared_ptr<responder> &answer) {
                ++handled;
                answer->respond(200, {}, std::to_string(received.body.size()));
            },
            limits);
    }

    void waitUntilFree()
    {
        constexpr int attempts = 1'000;
        for (int attempt = 0; attempt < attempts && account->heldBytes() != 0; ++attempt) {
            std::this_thread::sleep_for(10ms);
        }
        BOOST_TEST(account->heldBytes() == 0U);
    }
};

std::string headOf(std::size_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_memory, memory_fixture)

// Guards against a limit that turns away a request within the limits, and bytes that are never given back.
BOOST_AUTO_TEST_CASE(the_longest_body_is_served_with_a_length_and_in_chunks)
{
    const auto server = serveCounted();
    BOOST_TEST(run({"POST", urlOf(server->port(), "/"), {}, std::string(longestBody, 'x')}).body == "100000");
    raw_connection chunked(server->port());
    chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "2710\r\n" + std::string(10'000, 'x') + "\r\n";
    for (int sent = 0; sent < 10; ++sent) {
        chunked.send(chunk);
        std::this_thread::sleep_for(20ms);
    }
    chunked.send("0\r\n\r\n");
    BOOST_TEST(chunked.receiveUntil("100000").ends_with("100000"));
    chunked.close();
    waitUntilFree();
}

// Guards against bodies that stand still and keep their memory, and a rejection of a request that runs afterwards.
BOOST_AUTO_TEST_CASE(a_body_that_stands_still_is_rejected_while_others_wait_for_room)
{
    const auto server = serveCounted();
    raw_connection still(server->port());
    still.send(headOf(longestBody) + std::string(longestBody - 1, 'x'));
    std::this_thread::sleep_for(100ms);
    raw_connection waiting(server->port());
    waiting.send(headOf(longestBody) + std::string(longestBody, 'x'));
    BOOST_TEST(waiting.receiveUntil("100000").starts_with("HTTP/1.1 200 "));
    const std::string answer = still.receiveAll();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(answer.find(R"("outcome":"not_run")") != std::string::npos);
    BOOST_TEST(handled.load() == 1);
    still.close();
    waiting.close();
    waitUntilFree();
}

// Guards against a caller that leaves while its body waits for room.
BOOST_AUTO_TEST_CASE(a_server_ends_while_bodies_wait_for_room)
{
    const auto server = serveCounted();
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int index = 0; index < 5; ++index) {
        connections.push_back(std::make_unique<raw_connection>(server->port()));
        connections.back()->send(headOf(longestBody) + std::string(longestBody - 1, 'x'));
    }
    std::this_thread::sleep_for(100ms);
    connections.front()->close();
    server->stop();
    waitUntilFree();
    BOOST_TEST(handled.load() == 0);
}

// Guards against requests that run while the memory is used up.
BOOST_AUTO_TEST_CASE(new_requests_are_rejected_while_too_much_is_held)
{
    const auto server = serveCounted();
    account->addUnclaimed(1'000'000);
    BOOST_TEST(run({"GET", urlOf(server->port(), "/")}).result->status == 503);
    BOOST_TEST(handled.load() == 0);
    account->addUnclaimed(-1'000'000);
    BOOST_TEST(run({"GET", urlOf(server->port(), "/")}).result->status == 200);
}

// Guards against connections without a head that keep others out.
BOOST_AUTO_TEST_CASE(a_connection_without_a_head_makes_room)
{
    server_limits limits;
    limits.maxConnections = 1;
    const auto server = serve(
        [](const request &, const std::shared_ptr<responder> &answer) {
            answer->respond(200, {}, "");
        },
        limits);
    raw_connection silent(server->port());
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(run({"GET", urlOf(server->port(), "/")}).result->status == 200);
    BOOST_TEST(silent.receiveAll().empty());
}

BOOST_AUTO_TEST_SUITE_END()
