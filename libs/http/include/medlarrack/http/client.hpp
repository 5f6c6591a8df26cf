#pragma once

#include <medlarrack/http/message.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http {

/// A request to send.
struct client_request
{
    std::string method = "GET";
    /// "http://127.0.0.1:8000/v1/completions".
    std::string url = {};
    header_list headers = {};
    std::string body = {};
    /// Time for the whole exchange.
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds connectTimeout{1'000};
    /// An exchange that brings fewer bytes a second for as long as `stallTime` is given up before its timeout, so that
    /// a long answer can have a long one. 0: only the timeout counts.
    std::uint32_t minBytesPerSecond = 0;
    /// In whole seconds, rounded up.
    std::chrono::milliseconds stallTime{1'000};
    /// Opens a connection for this exchange in place of using a kept one. A kept connection may be closed by the server
    /// at the moment of sending, and then it isn't known whether the request arrived.
    bool freshConnection = false;
};

/// How far an exchange came.
enum class client_progress {
    /// Proven that no byte of the request left this process: the server can't have run it.
    not_sent,
    /// Some of the request may have reached the server; the answer is missing or broken off.
    sent,
    /// The answer arrived whole, as its Content-Length or its last chunk shows.
    complete,
};

/// The end of an exchange.
struct client_result
{
    client_progress progress = client_progress::not_sent;
    /// Status of the answer, 0 without one.
    int status = 0;
    header_list headers;
    /// Set when progress is not complete: "bad_request" (can't be sent as HTTP), "connect_failed", "timeout",
    /// "broken_answer" or "cancelled".
    std::string errorCode;
    std::string errorMessage;
};

/// Called on a thread that runs the io_context, never at the same time for one call.
struct client_callbacks
{
    /// Once, when the answer's status and headers are known. May be empty.
    std::function<void(int status, const header_list &headers)> onHead = {};
    /// For each piece of the body. May be empty.
    std::function<void(std::string_view piece)> onData = {};
    /// Once, last, also after cancel().
    std::function<void(const client_result &)> onEnd = {};
};

/// HTTP client for many exchanges at once over an io_context that the caller runs (libcurl's multi interface).
/// Connections are kept and used again. A request is sent at most once: an exchange never repeats it on a second
/// connection.
class client
{
public:
    using call_id = std::uint64_t;

    explicit client(asio::io_context &context, std::size_t maxConnectionsPerHost = 256);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    /// Starts an exchange; thread-safe.
    call_id start(client_request request, client_callbacks callbacks);
    /// Breaks an exchange off; onEnd follows with "cancelled" unless it has been called already. Thread-safe.
    void cancel(call_id call);
    /// Cancels all exchanges; none starts afterwards.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

/// Convenience for whole answers: collects the body and calls back once.
void fetch(client &client, client_request request,
           std::function<void(const client_result &result, std::string body)> callback);

} // namespace medlarrack::http
