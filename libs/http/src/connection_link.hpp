#pragma once

#include <medlarrack/core/byte_budget.hpp>

#include <asio/any_io_executor.hpp>
#include <asio/error_code.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace medlarrack::http::detail {

class server_socket;

/// What a connection holds, for the choice of those that are turned away.
struct connection_load
{
    std::size_t bodyBytes = 0;
    /// Since the body has grown by a fair number of bytes; nothing without an incomplete body.
    std::optional<std::chrono::nanoseconds> bodyStandstill;
    /// Since the body waits for room.
    std::optional<std::chrono::nanoseconds> roomWait;
    std::size_t untakenBytes = 0;
    /// Since the peer has taken any byte; nothing when it has none to take.
    std::optional<std::chrono::nanoseconds> takingStandstill;
};

/// Handle to one open connection of a server, usable from any thread while the connection's own state is reached on its
/// strand only. Its mutex is taken last; no callback runs under it.
class connection_link : public std::enable_shared_from_this<connection_link>
{
public:
    using watch_id = std::uint64_t;
    using steady_time = std::chrono::steady_clock::time_point;
    /// Goes on with a read that waited, or ends it with an error.
    using waiting_read = std::function<void(const asio::error_code &)>;

    connection_link(asio::io_context::executor_type executor, int socket, std::string address);
    ~connection_link();
    connection_link(const connection_link &) = delete;
    connection_link &operator=(const connection_link &) = delete;

    /// Shuts the socket down in both directions; the connection's strand then closes it.
    void breakOff();
    [[nodiscard]] bool isBrokenOff() const;
    /// The socket is about to be closed: forgets it and posts the callbacks of all watchers.
    void markClosed();
    /// As markClosed(), without callbacks; for the end of the io_context.
    void forget();

    /// Posts the callback once when the connection closes, at once if it is closed.
    watch_id watch(std::function<void()> callback);
    void unwatch(watch_id id);

    /// Counts bytes handed over for writing. False when that makes more than the limit.
    bool addBuffered(std::size_t bytes, std::size_t limit);
    void removeBuffered(std::size_t bytes);

    /// The same for whole responses, which have no limit here.
    void addWhole(std::size_t bytes);
    void removeWhole(std::size_t bytes);

    /// A request is in progress from its arrival until its answer is written.
    void requestStarted();
    void requestFinished();
    [[nodiscard]] bool busy() const;

    [[nodiscard]] const std::string &address() const;
    /// Bodies and responses are counted there from now on.
    void countIn(std::shared_ptr<core::byte_budget> budget);
    [[nodiscard]] connection_load load(steady_time now) const;
    /// Time since the connection was accepted; nothing once a whole head has arrived.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> timeWithoutHead(steady_time now) const;
    /// Answers the request that is being received with a status in place of reading on, and closes the connection.
    void refuse(int status);
    /// The status that is due as refuse() has asked for it, once; 0 for none.
    [[nodiscard]] int takeRefusal();
    [[nodiscard]] bool isRefused() const;
    /// The peer has taken some of what is written to it.
    void recordTaken();

    // On the connection's strand.
    void onHead();
    void onBody(std::size_t bytes);
    /// The claim of the request that is complete, if its body has one.
    [[nodiscard]] std::unique_ptr<core::byte_claim> onRequest();
    void keepBody(std::string body);
    [[nodiscard]] std::string takeBody();
    [[nodiscard]] bool awaitsRoom() const;
    void beginRead(server_socket &socket, const asio::any_io_executor &strand);
    void endRead();
    void deferRead(waiting_read read, const asio::any_io_executor &strand);
    /// The connection closes by itself and needs no more reads.
    void dropRead();

private:
    /// Called with the mutex held.
    void count(std::size_t &bytes, std::ptrdiff_t change);
    void wakeRead();
    void resumeRead();

    asio::io_context::executor_type m_executor;
    mutable std::mutex m_mutex;
    int m_socket;
    bool m_closed = false;
    bool m_isBrokenOff = false;
    std::map<watch_id, std::function<void()>> m_watchers;
    watch_id m_lastWatch = 0;
    /// Bytes of streams that wait to be taken.
    std::size_t m_buffered = 0;
    /// Bytes of whole responses that wait to be taken.
    std::size_t m_whole = 0;
    std::size_t m_requests = 0;
    const std::string m_address;
    const steady_time m_acceptedAt;
    std::shared_ptr<core::byte_budget> m_budget;
    asio::any_io_executor m_strand;
    waiting_read m_waitingRead;
    bool m_hadHead = false;
    bool m_isInBody = false;
    std::size_t m_bodyBytes = 0;
    std::size_t m_bodyMark = 0;
    steady_time m_bodyGrewAt;
    std::optional<steady_time> m_awaitsRoomSince;
    steady_time m_tookAt;
    int m_refusal = 0;
    bool m_isRefused = false;
    /// On the strand only.
    std::unique_ptr<core::byte_claim> m_claim;
    std::string m_body;
    server_socket *m_reading = nullptr;
};

} // namespace medlarrack::http::detail
