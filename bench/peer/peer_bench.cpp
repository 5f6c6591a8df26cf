/// Measures the peer library over loopback, client and server in one process: round trips and streamed messages a
/// second, and resident memory per connection at four sizes. Prints one JSON object.

#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/peer/server.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace medlarrack;

constexpr std::size_t threadCount = 4;
constexpr std::chrono::seconds measureTime{3};
constexpr std::size_t chunkBytes = 120;

class workers
{
public:
    workers()
    {
        for (std::size_t index = 0; index < threadCount; ++index) {
            m_threads.emplace_back([this] {
                m_context.run();
            });
        }
    }

    ~workers()
    {
        m_context.stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    workers(const workers &) = delete;
    workers &operator=(const workers &) = delete;

    asio::io_context &context()
    {
        return m_context;
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::vector<std::thread> m_threads;
};

/// Counts down to zero and lets a thread wait for that.
class countdown
{
public:
    explicit countdown(std::size_t count)
        : m_left(count)
    {
    }

    void done()
    {
        const std::lock_guard lock(m_mutex);
        if (--m_left == 0) {
            m_zero.notify_all();
        }
    }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_zero.wait(lock, [this] {
            return m_left == 0;
        });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_zero;
    std::size_t m_left;
};

peer::hello helloOf(const char *id)
{
    peer::hello value;
    value.sender = {id, 1};
    value.dataCentre = "osijek";
    return value;
}

// A run_request is answered as a short completion is; resumeFrom says with how many chunks.
void answer(const peer::hello &, const peer::message &request, const std::shared_ptr<peer::reply_stream> &reply)
{
    const auto *run = std::get_if<peer::run_request>(&request);
    if (run == nullptr) {
        // A load stream: stays open until the connection closes.
        reply->send(peer::load_report{});
        reply->onClosed([reply] {});
        return;
    }
    reply->send(peer::run_accepted{1, {"sidecar", 1}});
    for (std::uint64_t index = 0; index < run->resumeFrom; ++index) {
        reply->send(peer::run_chunk{1, index * chunkBytes, std::string(chunkBytes, 'x')});
    }
    reply->send(peer::run_end{1, run->resumeFrom * chunkBytes});
    reply->end();
}

struct rates
{
    double streamsPerSecond = 0;
    double messagesPerSecond = 0;
    double medianMicroseconds = 0;
    double highMicroseconds = 0;
    double cpuMicrosecondsPerStream = 0;
};

/// Keeps a number of streams open at once, each started when one has ended, until the time is over.
class stream_loop
{
public:
    stream_loop(peer::client &client, peer::endpoint to, std::size_t chunks, std::size_t atOnce)
        : m_client(client)
        , m_to(std::move(to))
        , m_atOnce(atOnce)
        , m_left(atOnce)
    {
        m_request.requestId = "0199d5f0-0000-7000-8000-000000000000";
        m_request.operatorName = "slavonska";
        m_request.adapter = {"slavonska/nozzle-7", "v3"};
        m_request.body = std::string(400, 'b');
        m_request.resumeFrom = chunks;
    }

    rates run()
    {
        const auto start = std::chrono::steady_clock::now();
        const std::clock_t cpuStart = std::clock();
        m_until = start + measureTime;
        for (std::size_t index = 0; index < m_atOnce; ++index) {
            startOne();
        }
        m_left.wait();
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        const double cpu = static_cast<double>(std::clock() - cpuStart) * 1e6 / CLOCKS_PER_SEC;
        std::sort(m_times.begin(), m_times.end());
        const auto at = [&](double share) {
            return m_times[static_cast<std::size_t>(share * static_cast<double>(m_times.size() - 1))];
        };
        const auto streams = static_cast<double>(m_times.size());
        return {streams / seconds, static_cast<double>(m_messages.load()) / seconds, at(0.5), at(0.99), cpu / streams};
    }

private:
    void startOne()
    {
        const auto start = std::chrono::steady_clock::now();
        peer::stream_callbacks callbacks;
        callbacks.onMessage = [this](const peer::message &) {
            ++m_messages;
        };
        callbacks.onEnd = [this, start](peer::stream_end end, const std::string &detail) {
            if (end != peer::stream_end::finished) {
                std::fprintf(stderr, "stream failed: %s\n", detail.c_str());
            }
            const auto now = std::chrono::steady_clock::now();
            {
                const std::lock_guard lock(m_mutex);
                m_times.push_back(std::chrono::duration<double, std::micro>(now - start).count());
            }
            if (now < m_until) {
                startOne();
            } else {
                m_left.done();
            }
        };
        m_client.start(m_to, m_request, std::move(callbacks));
    }

    peer::client &m_client;
    peer::endpoint m_to;
    std::size_t m_atOnce;
    countdown m_left;
    peer::run_request m_request;
    std::chrono::steady_clock::time_point m_until;
    std::atomic<std::uint64_t> m_messages{0};
    std::mutex m_mutex;
    std::vector<double> m_times;
};

std::size_t residentKib()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::size_t kib = 0;
            status >> kib;
            return kib;
        }
    }
    return 0;
}

// All of 127.0.0.0/8 is this machine, so each address is one more endpoint of the same server.
peer::endpoint loopback(std::size_t number, std::uint16_t port)
{
    constexpr std::size_t perByte = 250;
    return {"127.1." + std::to_string(number / perByte) + "." + std::to_string(number % perByte + 1), port};
}

/// Resident memory, client and server side together, while a number of connections each hold one quiet stream.
std::size_t memoryOf(std::size_t connections)
{
    workers pool;
    core::reason why;
    peer::server_limits serverLimits;
    serverLimits.maxConnections = connections;
    peer::server server(
        pool.context(), serverLimits,
        [] {
            return helloOf("sidecar");
        },
        &answer);
    if (!server.start("0.0.0.0", 0, why)) {
        return 0;
    }
    peer::client_limits limits;
    limits.maxConnections = connections;
    limits.connectTimeout = std::chrono::seconds(10);
    peer::client client(pool.context(), limits, [] {
        return helloOf("entry");
    });
    countdown reported(connections);
    for (std::size_t number = 0; number < connections; ++number) {
        peer::stream_callbacks callbacks;
        callbacks.onMessage = [&reported](const peer::message &) {
            reported.done();
        };
        client.start(loopback(number, server.port()), peer::watch_load{}, std::move(callbacks));
    }
    reported.wait();
    const std::size_t kib = residentKib();
    client.stop();
    server.stop();
    while (client.connections() > 0) {
        std::this_thread::yield();
    }
    return kib;
}

void printRates(const char *name, const rates &measured)
{
    std::printf("  \"%s\": {\"streams_per_s\": %.0f, \"messages_per_s\": %.0f, \"p50_us\": %.0f, \"p99_us\": %.0f, "
                "\"cpu_us_per_stream\": %.1f},\n",
                name, measured.streamsPerSecond, measured.messagesPerSecond, measured.medianMicroseconds,
                measured.highMicroseconds, measured.cpuMicrosecondsPerStream);
}

rates measure(std::size_t chunks, std::size_t atOnce)
{
    workers pool;
    core::reason why;
    peer::server server(
        pool.context(), {},
        [] {
            return helloOf("sidecar");
        },
        &answer);
    if (!server.start("127.0.0.1", 0, why)) {
        return {};
    }
    peer::client client(pool.context(), {}, [] {
        return helloOf("entry");
    });
    return stream_loop(client, {"127.0.0.1", server.port()}, chunks, atOnce).run();
}

} // namespace

int main()
{
    std::printf("{\n");
    printRates("round_trip_1_at_once", measure(1, 1));
    printRates("round_trip_64_at_once", measure(1, 64));
    printRates("stream_of_1000_1_at_once", measure(1000, 1));
    printRates("stream_of_128_64_at_once", measure(128, 64));
    std::printf("  \"memory_kib\": {\"0\": %zu", residentKib());
    for (const std::size_t connections : {256U, 1024U, 2048U, 4096U}) {
        std::printf(", \"%zu\": %zu", connections, memoryOf(connections));
        std::fflush(stdout);
    }
    std::printf("}\n}\n");
    return 0;
}
