#include "scripted_server.hpp"

#include <medlarrack/http1/byte_stream.hpp>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <linux/filter.h>
#include <malloc.h>
#include <thread>
#include <vector>

using namespace medlarrack::http1;
using medlarrack::http1::testing::runUntil;

namespace {

/// More than the system takes for a peer that doesn't read.
constexpr std::size_t unreadBytes = 8'000'000;
/// More than the system takes at the side of a peer that doesn't read, less than it takes at ours.
constexpr std::size_t heldBytes = 1'000'000;
constexpr auto acknowledgementTime = std::chrono::milliseconds(1'500);

/// Sanitizers allocate by themselves.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct loss_listener : byte_stream_listener
{
    void onBytes(std::string_view bytes) override
    {
        received += bytes;
    }
    void onPeerEnd() override
    {
        ended = true;
    }
    void onLost(std::string_view) override
    {
        lost = true;
    }

    std::string received;
    bool ended = false;
    bool lost = false;
};

/// What a peer that reads to the end gets.
struct read_result
{
    std::size_t size = 0;
    std::error_code end;
};

/// Both ends of a connection on loopback.
struct byte_stream_fixture
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket peer{context};
    std::shared_ptr<byte_stream> stream;

    byte_stream_fixture()
    {
        peer.connect(acceptor.local_endpoint());
        stream = std::make_shared<byte_stream>(context, acceptor.accept());
        stream->startReading();
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Returns once the reset has arrived.
    void resetByPeer()
    {
        peer.set_option(asio::socket_base::linger(true, 0));
        peer.close();
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!stream->hasPeerEnded() && std::chrono::steady_clock::now() < end) {
            std::this_thread::yield();
        }
        BOOST_REQUIRE(stream->hasPeerEnded());
    }

    /// The peer gets no more packets, as if it had lost power.
    void unplugPeer()
    {
        sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &dropAll};
        BOOST_REQUIRE(::setsockopt(peer.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
    }

    /// Its packets arrive again.
    void plugPeerIn()
    {
        const int unused = 0;
        BOOST_REQUIRE(::setsockopt(peer.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)) == 0);
    }

    read_result readToEnd()
    {
        read_result result;
        std::array<char, 65'536> buffer{};
        std::function<void()> read = [&] {
            peer.async_read_some(asio::buffer(buffer), [&](const std::error_code &error, std::size_t size) {
                result.end = error;
                result.size += size;
                if (!error) {
                    read();
                }
            });
        };
        read();
        BOOST_TEST(runUntil(context, [&] {
            return static_cast<bool>(result.end);
        }));
        peer.cancel();
        context.restart();
        context.poll();
        return result;
    }

    /// Waits until the peer sees the end of the stream.
    void awaitEnd()
    {
        bool ended = false;
        char byte = 0;
        peer.async_read_some(asio::buffer(&byte, 1), [&](const std::error_code &error, std::size_t) {
            ended = error == asio::error::eof;
        });
        BOOST_TEST_REQUIRE(runUntil(context, [&] {
            return ended;
        }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(byte_stream_suite, byte_stream_fixture)

// Guards against a request that crosses the close of an idle connection and is read without being answered: its sender
// couldn't tell that it was not taken.
BOOST_AUTO_TEST_CASE(bytes_that_cross_the_end_of_an_idle_connection_stay_unread)
{
    stream->finishUnread();
    awaitEnd();
    asio::write(peer, asio::buffer(std::string_view("late")));
    BOOST_TEST(runUntil(context, [&] {
        return stream->hasUnreadBytes();
    }));
    context.restart();
    context.poll();
    BOOST_TEST(stream->hasUnreadBytes());
    BOOST_TEST(stream->isOpen());
}

BOOST_AUTO_TEST_CASE(an_unread_end_closes_when_the_peer_closes)
{
    stream->finishUnread();
    awaitEnd();
    peer.close();
    BOOST_TEST(runUntil(context, [&] {
        return !stream->isOpen();
    }));
}

// A response may be lost to a reset if bytes that came after it stayed unread.
BOOST_AUTO_TEST_CASE(bytes_behind_a_response_are_read_and_dropped)
{
    stream->write("response");
    stream->finish();
    asio::write(peer, asio::buffer(std::string_view("late")));
    std::string received(8, ' ');
    asio::read(peer, asio::buffer(received));
    BOOST_TEST(received == "response");
    awaitEnd();
    BOOST_TEST(runUntil(context, [&] {
        return !stream->hasUnreadBytes();
    }));
    BOOST_TEST(stream->isOpen());
}

// Guards against a refusal that is lost to a reset because the long body that it refuses takes over a second to come.
BOOST_AUTO_TEST_CASE(bytes_that_keep_coming_behind_a_response_do_not_reset_it)
{
    stream->write("response");
    stream->finish();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1'800);
    std::error_code error;
    while (!error && std::chrono::steady_clock::now() < end) {
        asio::write(peer, asio::buffer(std::string_view("more")), error);
        context.restart();
        context.run_for(std::chrono::milliseconds(50));
    }
    BOOST_TEST(!error);
    std::string received(8, ' ');
    asio::read(peer, asio::buffer(received), error);
    BOOST_TEST(!error);
    BOOST_TEST(received == "response");
    awaitEnd();
}

// Guards against an answer that is lost in the system's buffer, as a later request crosses the end of an idle
// connection and is left unread.
BOOST_AUTO_TEST_CASE(an_unread_end_does_not_overtake_what_a_late_reader_is_owed)
{
    stream->setUnreadLimit(std::chrono::seconds(30));
    stream->write(std::string(heldBytes, 'x'));
    BOOST_TEST(stream->queued() == 0U);
    stream->finishUnread();
    asio::write(peer, asio::buffer(std::string_view("late")));
    runFor(std::chrono::milliseconds(1'400));
    BOOST_TEST(readToEnd().size == heldBytes);
}

// Guards against the same behind an answer that announced the end.
BOOST_AUTO_TEST_CASE(bytes_long_after_the_end_do_not_overtake_what_a_late_reader_is_owed)
{
    stream->setUnreadLimit(std::chrono::seconds(30));
    stream->write(std::string(heldBytes, 'x'));
    BOOST_TEST(stream->queued() == 0U);
    stream->finish();
    runFor(std::chrono::milliseconds(1'400));
    asio::write(peer, asio::buffer(std::string_view("late")));
    runFor(std::chrono::milliseconds(50));
    BOOST_TEST(readToEnd().size == heldBytes);
}

// Guards against an earlier answer that is lost to the reset of a later one.
BOOST_AUTO_TEST_CASE(a_reset_does_not_overtake_what_a_late_reader_is_owed)
{
    stream->setUnreadLimit(std::chrono::seconds(30));
    stream->write(std::string(heldBytes, 'x'));
    BOOST_TEST(stream->queued() == 0U);
    stream->abort();
    runFor(std::chrono::milliseconds(300));
    const read_result result = readToEnd();
    BOOST_TEST(result.size == heldBytes);
    BOOST_TEST(result.end == asio::error::connection_reset);
}

// Guards against a reset that waits as long as its peer likes, or that an end of the peer's side turns into an end in
// order.
BOOST_AUTO_TEST_CASE(a_reset_behind_bytes_that_wait_stays_a_reset)
{
    stream->setUnreadLimit(std::chrono::seconds(30));
    stream->write(std::string(unreadBytes, 'x'));
    BOOST_TEST(stream->queued() > 0U);
    stream->abort();
    peer.shutdown(asio::ip::tcp::socket::shutdown_send);
    runFor(std::chrono::milliseconds(100));
    const read_result result = readToEnd();
    BOOST_TEST(result.size == unreadBytes);
    BOOST_TEST(result.end == asio::error::connection_reset);
    BOOST_TEST(!stream->isOpen());
}

// Guards against a stream of HTTP/1.0, which ends with its connection, that looks whole as its caller's link heals
// after the caller was given up.
BOOST_AUTO_TEST_CASE(a_peer_that_was_given_up_and_comes_back_meets_a_reset)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->setUnreadLimit(std::chrono::seconds(60));
    unplugPeer();
    stream->write("part of a response");
    BOOST_TEST_REQUIRE(runUntil(context, [&] {
        return listener.lost;
    }));
    // As their listeners do.
    stream->close();
    BOOST_TEST(!stream->isOpen());
    plugPeerIn();
    BOOST_TEST(readToEnd().end == asio::error::connection_reset);
}

// Guards against a connection that is kept as long as its peer likes.
BOOST_AUTO_TEST_CASE(a_finished_connection_closes_soon_after_the_last_bytes_of_its_peer)
{
    stream->finish();
    asio::write(peer, asio::buffer(std::string_view("more")));
    awaitEnd();
    BOOST_TEST(runUntil(context, [&] {
        return !stream->isOpen();
    }));
}

// Guards against a response that is lost to a reset because the process stood still over the time for late bytes, and
// closes over those that have come meanwhile.
BOOST_AUTO_TEST_CASE(a_finished_connection_of_a_process_that_stood_still_reads_what_has_come)
{
    stream->write("response");
    stream->finish();
    runFor(std::chrono::milliseconds(50));
    asio::write(peer, asio::buffer(std::string(200'000, 'x')));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
    runFor(std::chrono::milliseconds(50));
    std::error_code error;
    asio::write(peer, asio::buffer(std::string_view("more")), error);
    BOOST_TEST(!error);
    runFor(std::chrono::milliseconds(50));
    std::string received(8, ' ');
    asio::read(peer, asio::buffer(received), error);
    BOOST_TEST(!error);
    BOOST_TEST(received == "response");
}

// Guards against a peer that pauses, while its host acknowledges, and loses what it was owed.
BOOST_AUTO_TEST_CASE(a_peer_that_does_not_read_for_a_while_gets_all)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->setUnreadLimit(std::chrono::seconds(30));
    const std::string bytes(unreadBytes, 'x');
    stream->write(bytes);
    BOOST_TEST(stream->queued() > 0U);
    runFor(2 * acknowledgementTime);
    BOOST_TEST_REQUIRE(!listener.lost);
    std::size_t received = 0;
    std::array<char, 65'536> buffer{};
    std::error_code failed;
    std::function<void()> read = [&] {
        peer.async_read_some(asio::buffer(buffer), [&](const std::error_code &error, std::size_t size) {
            failed = error;
            received += size;
            if (!error) {
                read();
            }
        });
    };
    read();
    BOOST_TEST(runUntil(context, [&] {
        return failed || received == bytes.size();
    }));
    BOOST_TEST(!failed);
    BOOST_TEST(!listener.lost);
}

// Guards against memory that is held for as long as a peer likes that reads nothing.
BOOST_AUTO_TEST_CASE(a_peer_that_does_not_read_until_the_limit_is_given_up)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->setUnreadLimit(std::chrono::seconds(3));
    stream->write(std::string(unreadBytes, 'x'));
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(stream->hasTimedOut());
}

// Guards against a peer without power, or behind a partition, that isn't noticed.
BOOST_AUTO_TEST_CASE(a_peer_that_acknowledges_nothing_is_given_up)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->setUnreadLimit(std::chrono::seconds(60));
    unplugPeer();
    const auto start = std::chrono::steady_clock::now();
    stream->write("response");
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(stream->hasTimedOut());
    BOOST_TEST((std::chrono::steady_clock::now() - start >= acknowledgementTime));
}

// Guards against one that loses power after it had stopped reading.
BOOST_AUTO_TEST_CASE(a_peer_that_has_stopped_reading_and_acknowledges_nothing_is_given_up)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->setUnreadLimit(std::chrono::seconds(60));
    stream->write(std::string(unreadBytes, 'x'));
    runFor(std::chrono::milliseconds(300));
    unplugPeer();
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(stream->hasTimedOut());
}

// Guards against kept connections that keep the memory of an answer that their peer has long taken.
BOOST_AUTO_TEST_CASE(a_stream_whose_peer_has_taken_all_keeps_no_memory_for_it)
{
    constexpr std::size_t keptBytes = 65'536;
    const std::string answer(4 * unreadBytes, 'x');
    const std::size_t before = allocatedBytes();
    stream->write(answer);
    BOOST_TEST_REQUIRE(stream->queued() > unreadBytes);
    std::vector<char> buffer(65'536);
    std::size_t taken = 0;
    const std::function<void()> takeMore = [&] {
        peer.async_read_some(asio::buffer(buffer), [&](const std::error_code &error, std::size_t size) {
            taken += size;
            if (!error && taken < answer.size()) {
                takeMore();
            }
        });
    };
    takeMore();
    BOOST_TEST_REQUIRE(runUntil(context, [&] {
        return taken == answer.size();
    }));
    BOOST_TEST(stream->queued() == 0U);
    if (measuresMemory) {
        BOOST_TEST(allocatedBytes() <= before + buffer.size() + keptBytes);
    }
}

// Guards against a reset that a failed write consumes: the read after it sees an end of file, which would complete a
// body that only the end of its connection delimits.
BOOST_AUTO_TEST_CASE(an_end_behind_a_failed_write_is_not_orderly)
{
    loss_listener listener;
    stream->setListener(&listener);
    asio::write(peer, asio::buffer(std::string_view("part")));
    BOOST_REQUIRE(runUntil(context, [&] {
        return listener.received == "part";
    }));
    resetByPeer();
    // Runs in the same turn of the event loop as the read of the end, before it.
    asio::post(context, [&] {
        stream->write("more");
    });
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(!listener.ended);
}

// Guards against a correct response that is dropped because the rest of the upload could not be written.
BOOST_AUTO_TEST_CASE(bytes_that_came_before_a_failed_write_are_read_if_asked_for)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->readPastFailedWrites();
    asio::write(peer, asio::buffer(std::string_view("whole")));
    resetByPeer();
    stream->write("more");
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(listener.received == "whole");
    BOOST_TEST(!listener.ended);
}

// Guards against a connection that is never reported as lost, or a reader that gets bytes while it has paused.
BOOST_AUTO_TEST_CASE(the_loss_waits_for_a_reader_that_has_paused)
{
    loss_listener listener;
    stream->setListener(&listener);
    stream->readPastFailedWrites();
    stream->stopReading();
    asio::write(peer, asio::buffer(std::string_view("whole")));
    resetByPeer();
    stream->write("more");
    runFor(std::chrono::milliseconds(20));
    BOOST_TEST(!listener.lost);
    BOOST_TEST(listener.received.empty());
    stream->startReading();
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(listener.received == "whole");
}

// Guards against requests of a caller that has left: a server reads nothing of a connection that it can't write to.
BOOST_AUTO_TEST_CASE(bytes_that_came_before_a_failed_write_are_not_read_otherwise)
{
    loss_listener listener;
    stream->setListener(&listener);
    asio::write(peer, asio::buffer(std::string_view("request")));
    resetByPeer();
    asio::post(context, [&] {
        stream->write("more");
    });
    BOOST_TEST(runUntil(context, [&] {
        return listener.lost;
    }));
    BOOST_TEST(listener.received.empty());
}

BOOST_AUTO_TEST_SUITE_END()
