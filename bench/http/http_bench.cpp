// Measures libs/http over loopback in one process: whole answers and streams, closed loop.
// Usage: http_bench [CONCURRENCY [REQUESTS [THREADS]]]

#include <medlarrack/http/client.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/http/server.hpp>

#include <asio/executor_work_guard.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace medlarrack;
using bench_clock = std::chrono::steady_clock;

/// Events of one streamed answer.
constexpr int streamEvents = 64;

struct bench_sizes
{
    int concurrency = 64;
    int requests = 50'000;
    int threads = 4;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// A closed loop of exchanges: each that ends starts the next.
class closed_loop
{
public:
    closed_loop(http::client &client, std::string url, const bench_sizes &sizes)
        : m_client(client)
        , m_url(std::move(url))
        , m_sizes(sizes)
    {
    }

    /// Runs all exchanges and prints one line.
    void run(const char *name, int piecesPerAnswer)
    {
        const auto processorBefore = processorSeconds();
        const auto begun = bench_clock::now();
        auto finished = m_finished.get_future();
        for (int i = 0; i < m_sizes.concurrency; ++i) {
            startNext();
        }
        finished.wait();
        const std::chrono::duration<double> took = bench_clock::now() - begun;
        const double processor = processorSeconds() - processorBefore;
        std::sort(m_latencies.begin(), m_latencies.end());
        std::printf("%-7s %6zu answers, %zu not whole, %8.0f answers/s, %9.0f pieces/s, median %6.3f ms, p99 %6.3f ms, "
                    "%5.1f us processor time each\n",
                    name, m_latencies.size(), m_broken, static_cast<double>(m_latencies.size()) / took.count(),
                    static_cast<double>(m_latencies.size()) * piecesPerAnswer / took.count(), quantile(0.5),
                    quantile(0.99), processor * 1e6 / static_cast<double>(m_latencies.size()));
    }

private:
    void startNext()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_started == m_sizes.requests) {
                return;
            }
            ++m_started;
        }
        const auto begun = bench_clock::now();
        http::client_callbacks callbacks;
        callbacks.onEnd = [this, begun](const http::client_result &result) {
            finish(bench_clock::now() - begun, result.progress == http::client_progress::complete);
        };
        m_client.start({"POST", m_url, {{"Content-Type", "application/json"}}, R"({"prompt":"hello"})"},
                       std::move(callbacks));
    }

    void finish(bench_clock::duration latency, bool whole)
    {
        bool last = false;
        {
            const std::lock_guard lock(m_mutex);
            m_latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
            m_broken += whole ? 0 : 1;
            last = static_cast<int>(m_latencies.size()) == m_sizes.requests;
        }
        if (last) {
            m_finished.set_value();
        } else {
            startNext();
        }
    }

    [[nodiscard]] double quantile(double q) const
    {
        return m_latencies[static_cast<std::size_t>(q * static_cast<double>(m_latencies.size() - 1))];
    }

    http::client &m_client;
    std::string m_url;
    bench_sizes m_sizes;
    std::mutex m_mutex;
    int m_started = 0;
    std::size_t m_broken = 0;
    std::vector<double> m_latencies;
    std::promise<void> m_finished;
};

void answer(const http::request &received, const std::shared_ptr<http::responder> &responder)
{
    if (received.path() == "/whole") {
        responder->respond(200, {{"Content-Type", "application/json"}}, R"({"text":"hello"})");
        return;
    }
    responder->begin(200, {{"Content-Type", "text/event-stream"}});
    for (int i = 0; i < streamEvents; ++i) {
        responder->write("data: {\"choices\":[{\"index\":0,\"text\":\" 0badcafe\",\"finish_reason\":null}]}\n\n");
    }
    responder->end();
}

} // namespace

int main(int argc, char **argv)
{
    bench_sizes sizes;
    int *const values[] = {&sizes.concurrency, &sizes.requests, &sizes.threads};
    for (int i = 1; i < argc && i <= 3; ++i) {
        *values[i - 1] = std::max(1, std::atoi(argv[i]));
    }
    asio::io_context context;
    auto work = asio::make_work_guard(context);
    http::server server(context, {}, answer);
    core::reason why;
    if (!server.start("127.0.0.1", 0, why)) {
        std::fprintf(stderr, "%s\n", why.message.c_str());
        return 1;
    }
    http::client client(context, static_cast<std::size_t>(sizes.concurrency));
    std::vector<std::thread> threads;
    for (int i = 0; i < sizes.threads; ++i) {
        threads.emplace_back([&context] {
            context.run();
        });
    }
    std::printf("concurrency %d, %d threads for server and client together\n", sizes.concurrency, sizes.threads);
    const std::string base = "http://127.0.0.1:" + std::to_string(server.port());
    closed_loop(client, base + "/whole", sizes).run("whole", 1);
    bench_sizes fewer = sizes;
    fewer.requests = std::max(sizes.concurrency, sizes.requests / 10);
    closed_loop(client, base + "/stream", fewer).run("stream", streamEvents);
    context.stop();
    for (auto &thread : threads) {
        thread.join();
    }
    return 0;
}
