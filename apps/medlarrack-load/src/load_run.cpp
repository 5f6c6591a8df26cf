#include "load_run.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>

namespace medlarrack::load {

namespace {

constexpr std::chrono::seconds progressInterval{1};
/// How long a service's run counts are asked for again after a failure.
constexpr int readAttempts = 3;

double seconds(core::monotonic_time from, core::monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Figures since the last line of progress.
struct progress
{
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;
    std::uint64_t right = 0;
    std::uint64_t refused = 0;
    distribution latency;
};

} // namespace

/// m_mutex guards the summary, the progress and the counts; it is a leaf.
class load_run::impl
{
public:
    impl(const load_options &options, const core::clock &clock, request_source &source)
        : m_options(options)
        , m_clock(clock)
        , m_source(source)
        , m_keys(clock)
        , m_client(m_context)
        , m_caller(m_client, options, clock, m_keys,
                   [this](const request_result &result) {
                       record(result);
                   })
        , m_summary(options.allowCutOff)
    {
        for (std::size_t index = 0; index < options.threads; ++index) {
            m_threads.emplace_back([this] {
                m_context.run();
            });
        }
    }

    ~impl()
    {
        m_client.stop();
        m_work.reset();
        m_context.stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    summary execute()
    {
        const auto before = readEngines();
        m_start = m_clock.now();
        m_lastProgress = m_start;
        sendAll();
        waitForAnswers();
        printProgress();
        m_summary.duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_start);
        m_summary.seed = m_options.seed;
        measureBatches(before);
        checkRuns();
        return std::move(m_summary);
    }

private:
    using engine_readings = std::vector<std::optional<engine_counters>>;

    void sendAll()
    {
        while (const auto request = m_source.next()) {
            waitUntil(m_start + request->at);
            {
                const std::lock_guard lock(m_mutex);
                ++m_open;
                ++m_progress.sent;
            }
            m_caller.send(*request);
        }
    }

    void waitUntil(core::monotonic_time time)
    {
        for (auto now = m_clock.now(); now < time; now = m_clock.now()) {
            std::this_thread::sleep_for(std::min<core::monotonic_time_base::duration>(time - now, progressInterval));
            progressIfDue();
        }
        progressIfDue();
    }

    void waitForAnswers()
    {
        std::unique_lock lock(m_mutex);
        while (m_open > 0) {
            m_ended.wait_for(lock, progressInterval);
            lock.unlock();
            progressIfDue();
            lock.lock();
        }
    }

    void record(const request_result &result)
    {
        const std::lock_guard lock(m_mutex);
        m_summary.add(result);
        ++m_progress.ended;
        if (result.kind == result_kind::answered || result.kind == result_kind::late) {
            ++m_progress.right;
            m_progress.latency.add(std::chrono::duration<double, std::milli>(result.latency).count());
        }
        m_progress.refused += result.kind == result_kind::not_run ? 1 : 0;
        if (--m_open == 0) {
            m_ended.notify_all();
        }
    }

    void progressIfDue()
    {
        if (m_clock.now() - m_lastProgress >= progressInterval) {
            printProgress();
        }
    }

    void printProgress()
    {
        const auto now = m_clock.now();
        progress last;
        std::size_t open = 0;
        std::size_t broken = 0;
        {
            const std::lock_guard lock(m_mutex);
            last = std::exchange(m_progress, {});
            open = m_open;
            broken = m_summary.broken().size();
        }
        std::fprintf(
            stderr,
            "%7.1f s  sent %llu  ended %llu  right %llu  refused %llu  open %zu  median %.1f ms  99th %.1f ms  "
            "broken %zu\n",
            seconds(m_start, now), static_cast<unsigned long long>(last.sent),
            static_cast<unsigned long long>(last.ended), static_cast<unsigned long long>(last.right),
            static_cast<unsigned long long>(last.refused), open, last.latency.percentile(0.5),
            last.latency.percentile(0.99), broken);
        m_lastProgress = now;
    }

    // A whole answer with status 200, or nothing after some attempts.
    std::optional<std::string> read(const std::string &url)
    {
        for (int attempt = 0; attempt < readAttempts; ++attempt) {
            std::mutex mutex;
            std::condition_variable done;
            std::optional<http::client_result> end;
            std::string content;
            http::client_request request;
            request.url = url;
            http::fetch(m_client, request, [&](const http::client_result &result, std::string body) {
                const std::lock_guard lock(mutex);
                end = result;
                content = std::move(body);
                done.notify_all();
            });
            std::unique_lock lock(mutex);
            done.wait(lock, [&] {
                return end.has_value();
            });
            if (end->progress == http::client_progress::complete && end->status == 200) {
                return content;
            }
        }
        std::fprintf(stderr, "medlarrack-load: no answer from %s\n", url.c_str());
        return std::nullopt;
    }

    engine_readings readEngines()
    {
        engine_readings readings;
        for (const std::string &engine : m_options.engines) {
            const auto body = read(engine + "/load");
            readings.push_back(body ? parseCounters(*body) : std::nullopt);
        }
        return readings;
    }

    void measureBatches(const engine_readings &before)
    {
        const auto after = readEngines();
        for (std::size_t index = 0; index < after.size(); ++index) {
            if (before[index] && after[index]) {
                addUse(m_summary.batches, *before[index], *after[index]);
                ++m_summary.enginesMeasured;
            }
        }
    }

    // A service that doesn't answer leaves the promise unproven, which counts as broken.
    void checkRuns()
    {
        if (m_options.runCounters.empty()) {
            return;
        }
        run_counts runs;
        for (const std::string &service : m_options.runCounters) {
            const auto body = read(service + "/_runs");
            const auto counts = body ? parseRuns(*body) : std::nullopt;
            if (!counts) {
                m_summary.addBroken({{"runs_unreadable", service}});
                return;
            }
            run_ledger::merge(runs, *counts);
        }
        m_summary.runsChecked = true;
        m_summary.addBroken(m_summary.ledger().check(runs));
    }

    const load_options &m_options;
    const core::clock &m_clock;
    request_source &m_source;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    key_table m_keys;
    http::client m_client;
    caller m_caller;
    std::vector<std::thread> m_threads;
    core::monotonic_time m_start;
    core::monotonic_time m_lastProgress;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    summary m_summary;
    progress m_progress;
    std::size_t m_open = 0;
};

load_run::load_run(const load_options &options, const core::clock &clock, request_source &source)
    : m_impl(std::make_unique<impl>(options, clock, source))
{
}

load_run::~load_run() = default;

summary load_run::execute()
{
    return m_impl->execute();
}

} // namespace medlarrack::load
