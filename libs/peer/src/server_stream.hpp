#pragma once

#include "connection.hpp"

#include <medlarrack/core/byte_budget.hpp>
#include <medlarrack/peer/codec.hpp>
#include <medlarrack/peer/reply_stream.hpp>

#include <atomic>
#include <functional>
#include <mutex>

namespace medlarrack::peer::detail {

class server_connection;

/// One stream as the server sees it: the request as it arrives, then the queue of bytes to send. The request part
/// belongs to the connection's strand; the rest is guarded by m_mutex, under which no other lock is taken and no
/// callback is called.
class server_stream final : public body_source
{
public:
    /// What the strand has to do for the stream.
    enum class action {
        send,
        refuse,
        reset,
    };

    server_stream(std::weak_ptr<server_connection> connection, std::int32_t id);

    // On the strand.
    std::string helloText;
    std::string request;
    /// Nothing more is read of the request.
    bool dispatched = false;
    /// The handler has it.
    bool handed = false;
    bool responseStarted = false;
    std::chrono::steady_clock::time_point openedAt;
    /// Bytes counted outside of the claim.
    std::size_t unclaimedBytes = 0;
    /// For a request that isn't short.
    std::unique_ptr<core::byte_claim> claim;
    std::size_t pull(std::uint8_t *buffer, std::size_t length, bool &atEnd) override;
    /// The stream is over; calls the closed callback unless the end was said here first.
    void markClosed();
    /// Looks up whether anything was sent.
    [[nodiscard]] bool hasOutput();

    // From any thread.
    void send(const message &value);
    void end();
    void refuse();
    /// Resets the stream unless it has ended.
    void abandon();
    [[nodiscard]] std::size_t bufferedBytes() const;
    void setClosedCallback(std::function<void()> callback);

private:
    void wake(action what);
    void append(std::string bytes);
    void breakOff(action what);
    void countUntaken(std::ptrdiff_t bytes) const;

    std::weak_ptr<server_connection> m_connection;
    std::int32_t m_id;
    mutable std::mutex m_mutex;
    std::string m_output;
    std::size_t m_taken = 0;
    bool m_sent = false;
    bool m_ended = false;
    /// Ended by a reset, so the end mark must not be sent.
    bool m_reset = false;
    bool m_closed = false;
    bool m_wakePending = false;
    std::function<void()> m_onClosed;
};

/// The handler's handle of a stream.
class reply_handle final : public reply_stream
{
public:
    explicit reply_handle(std::shared_ptr<server_stream> stream);
    ~reply_handle() override;

    void send(const message &value) override;
    void end() override;
    void refuse() override;
    [[nodiscard]] std::size_t bufferedBytes() const override;
    void onClosed(std::function<void()> callback) override;

private:
    std::shared_ptr<server_stream> m_stream;
};

} // namespace medlarrack::peer::detail
