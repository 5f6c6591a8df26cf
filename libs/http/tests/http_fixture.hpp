#pragma once

#include <medlarrack/http/client.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/http/server.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlarrack::http::test {

/// The outcome of one exchange.
struct exchange_record
{
    int headStatus = 0;
    std::string body;
    std::optional<client_result> result;
};

/// An io_context on several threads, a client and helpers that wait for conditions.
class http_fixture
{
public:
    http_fixture();
    ~http_fixture();
    http_fixture(const http_fixture &) = delete;
    http_fixture &operator=(const http_fixture &) = delete;

    /// A started server on a free port.
    std::unique_ptr<server> serve(request_handler handler, server_limits limits = {});
    /// Runs an exchange to its end.
    exchange_record run(client_request request);
    /// Waits until the condition, which runs under mutex(), holds; fails the test after a generous time.
    void waitFor(const std::function<bool()> &condition);
    /// Runs the change under the mutex and wakes waiters.
    void note(const std::function<void()> &change);

    asio::io_context context;
    client caller{context};

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

/// "http://127.0.0.1:<port><target>".
std::string urlOf(std::uint16_t port, const std::string &target);

} // namespace medlarrack::http::test
