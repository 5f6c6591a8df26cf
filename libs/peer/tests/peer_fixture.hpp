#pragma once

#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/peer/server.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Shared by the peer tests: an io_context on worker threads, a server, a client and a record of what each stream got.
namespace medlarrack::peer::tests {

/// Longest wait for a condition; only a failing test reaches it.
inline constexpr std::chrono::seconds giveUp{20};

/// What one stream got; wait for its end with ended().
class stream_record
{
public:
    stream_callbacks callbacks()
    {
        return {[this](message value) {
                    addMessage(std::move(value));
                },
                [this](stream_end end, const std::string &detail) {
                    setEnd(end, detail);
                }};
    }

    bool ended()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, giveUp, [this] {
            return m_ends > 0;
        });
    }

    bool has(std::size_t messages)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, giveUp, [&] {
            return m_messages.size() >= messages;
        });
    }

    stream_end end()
    {
        const std::lock_guard lock(m_mutex);
        return m_end;
    }

    std::string detail()
    {
        const std::lock_guard lock(m_mutex);
        return m_detail;
    }

    int ends()
    {
        const std::lock_guard lock(m_mutex);
        return m_ends;
    }

    std::vector<message> messages()
    {
        const std::lock_guard lock(m_mutex);
        return m_messages;
    }

private:
    void addMessage(message value)
    {
        const std::lock_guard lock(m_mutex);
        m_messages.push_back(std::move(value));
        m_changed.notify_all();
    }

    void setEnd(stream_end end, const std::string &detail)
    {
        const std::lock_guard lock(m_mutex);
        ++m_ends;
        m_end = end;
        m_detail = detail;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<message> m_messages;
    std::string m_detail;
    stream_end m_end = stream_end::finished;
    int m_ends = 0;
};

/// Waits until a condition holds, looking again every few milliseconds.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + giveUp;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// Worker threads over one io_context; stopped and joined at the end.
class worker_pool
{
public:
    explicit worker_pool(unsigned threads = 4)
    {
        for (unsigned index = 0; index < threads; ++index) {
            m_threads.emplace_back([this] {
                m_context.run();
            });
        }
    }

    ~worker_pool()
    {
        m_context.stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    asio::io_context &context()
    {
        return m_context;
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::vector<std::thread> m_threads;
};

inline hello helloOf(const std::string &id)
{
    hello value;
    value.sender = {id, 7};
    value.dataCentre = "osijek";
    return value;
}

/// A server on a free loopback port.
class test_server
{
public:
    test_server(worker_pool &pool, stream_handler handler, server_limits limits = {},
                const hello &self = helloOf("sidecar-1"))
        : m_server(
            pool.context(), std::move(limits),
            [self] {
                return self;
            },
            std::move(handler))
    {
        core::reason why;
        m_started = m_server.start("127.0.0.1", 0, why);
    }

    [[nodiscard]] endpoint at() const
    {
        return {"127.0.0.1", m_started ? m_server.port() : std::uint16_t{0}};
    }

    server *operator->()
    {
        return &m_server;
    }

private:
    server m_server;
    bool m_started = false;
};

/// A handler that answers a run_request with accepted, one chunk with the request's body, and the end.
inline void echo(const hello &, message request, const std::shared_ptr<reply_stream> &reply)
{
    const auto &run = std::get<run_request>(request);
    reply->send(run_accepted{run.attempt, {"sidecar-1", 7}});
    reply->send(run_chunk{run.attempt, 0, run.body});
    reply->send(run_end{run.attempt, run.body.size()});
    reply->end();
}

inline run_request requestWith(std::string body)
{
    run_request value;
    value.requestId = "r-1";
    value.body = std::move(body);
    return value;
}

} // namespace medlarrack::peer::tests
