#pragma once

#include "request_run.hpp"
#include "retry_budget.hpp"
#include "run_metrics.hpp"
#include "shared_suspects.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/entry/sidecar_link.hpp>
#include <medlarrack/tickets/state.hpp>

#include <deque>
#include <list>
#include <map>
#include <utility>

/// Fakes for the interfaces of the entry: clock, scheduler, link to the sidecars, and the caller's responder.
namespace medlarrack::entry::test {

/// Queue of the steps and timers of all requests of a test, which runs them on demand.
class step_queue
{
public:
    explicit step_queue(core::manual_clock &clock)
        : m_clock(clock)
    {
    }

    void post(std::function<void()> step)
    {
        m_steps.push_back(std::move(step));
    }

    void setTimer(const void *owner, std::chrono::nanoseconds delay, std::function<void()> step)
    {
        m_timers[owner] = {m_clock.now() + delay, std::move(step)};
    }

    void cancelTimer(const void *owner)
    {
        m_timers.erase(owner);
    }

    /// Runs all steps and timers that are due.
    void run()
    {
        while (runStep() || runTimer()) { }
    }

    /// Advances the clock in steps of 1 ms and runs the steps and timers that become due.
    void advance(std::chrono::milliseconds by)
    {
        for (std::chrono::milliseconds passed{0}; passed < by; passed += std::chrono::milliseconds(1)) {
            m_clock.advance(std::chrono::milliseconds(1));
            run();
        }
    }

    /// Drops all steps and timers.
    void clear()
    {
        const auto timers = std::exchange(m_timers, {});
        const auto waiting = std::exchange(m_steps, {});
    }

private:
    struct timer
    {
        core::monotonic_time at;
        std::function<void()> step;
    };

    bool runStep()
    {
        if (m_steps.empty()) {
            return false;
        }
        const auto step = std::move(m_steps.front());
        m_steps.pop_front();
        step();
        return true;
    }

    bool runTimer()
    {
        for (auto &[owner, value] : m_timers) {
            if (value.at <= m_clock.now()) {
                const auto step = std::move(value.step);
                m_timers.erase(owner);
                step();
                return true;
            }
        }
        return false;
    }

    core::manual_clock &m_clock;
    std::deque<std::function<void()>> m_steps;
    std::map<const void *, timer> m_timers;
};

class fake_scheduler final : public scheduler
{
public:
    explicit fake_scheduler(step_queue &queue)
        : m_queue(queue)
    {
    }

    ~fake_scheduler() override
    {
        m_queue.cancelTimer(this);
    }

    void post(std::function<void()> step) override
    {
        m_queue.post(std::move(step));
    }

    void startTimer(std::chrono::nanoseconds delay, std::function<void()> step) override
    {
        m_queue.setTimer(this, delay, std::move(step));
    }

    void cancelTimer() override
    {
        m_queue.cancelTimer(this);
    }

private:
    step_queue &m_queue;
};

/// Records the streams started. Tests act as the sidecars through their callbacks.
class fake_link final : public sidecar_link
{
public:
    struct stream
    {
        peer::endpoint to;
        peer::message request;
        peer::stream_callbacks callbacks;
        bool cancelled = false;

        [[nodiscard]] const peer::run_request &run() const
        {
            return std::get<peer::run_request>(request);
        }
    };

    peer::client::stream_id start(const peer::endpoint &to, const peer::message &request,
                                  peer::stream_callbacks callbacks) override
    {
        streams.push_back({to, request, std::move(callbacks)});
        return streams.size();
    }

    void cancel(peer::client::stream_id id) override
    {
        streams.at(id - 1).cancelled = true;
    }

    std::deque<stream> streams;
};

/// The response as received by the caller.
struct received_response
{
    int status = 0;
    http::header_list headers;
    std::string body;
    bool streamed = false;
    bool ended = false;
    bool aborted = false;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        return std::string(http::findHeader(headers, name).value_or(""));
    }
};

class fake_responder final : public http::responder
{
public:
    explicit fake_responder(std::shared_ptr<received_response> response)
        : m_response(std::move(response))
    {
    }

    void respond(int status, http::header_list headers, std::string body) override
    {
        *m_response = {status, std::move(headers), std::move(body), false, true, false};
    }

    void begin(int status, http::header_list headers) override
    {
        *m_response = {status, std::move(headers), {}, true, false, false};
    }

    void write(std::string_view chunk) override
    {
        m_response->body += chunk;
    }

    void end() override
    {
        m_response->ended = true;
    }

    void abort() override
    {
        m_response->aborted = true;
    }

    void onClosed(std::function<void()> /*callback*/) override
    {
    }

private:
    std::shared_ptr<received_response> m_response;
};

/// The environment of requests with fakes, for three engines and three replicas of a service.
struct run_fixture
{
    run_fixture()
    {
        settings.instanceId = "entry-1";
        settings.dataCentre = "osijek";
        instances::instance_list list;
        for (const std::string group : {"assistant", "pivot"}) {
            for (std::uint16_t number = 1; number <= 3; ++number) {
                instances::instance item;
                item.id = group + "-" + std::to_string(number);
                item.group = group;
                item.dataCentre = "osijek";
                item.address = "127.0.0.1";
                item.port = static_cast<std::uint16_t>((group == "pivot" ? 200 : 100) + number);
                list.instances.push_back(item);
            }
        }
        list.asOf = clock.wallNow();
        view.apply(list, clock.now());
    }

    /// Destroys requests in progress before the tables that they use.
    ~run_fixture()
    {
        steps.clear();
        link.streams.clear();
    }

    run_fixture(const run_fixture &) = delete;
    run_fixture &operator=(const run_fixture &) = delete;

    static call completion(bool stream = false)
    {
        call value;
        value.requestId = "r-1";
        value.operatorName = "slavonska";
        value.group = "assistant";
        value.adapter = {"slavonska/nozzle-7", "v3"};
        value.adapterHash = core::hash64(value.adapter.toString());
        value.path = "/v1/completions";
        value.body = "{}";
        value.stream = stream;
        value.fingerprint = 77;
        return value;
    }

    static call pivotStart()
    {
        call value;
        value.requestId = "r-2";
        value.kind = peer::work_kind::service_call;
        value.operatorName = "slavonska";
        value.group = "pivot";
        value.service = "pivot";
        value.method = "POST";
        value.path = "/start";
        value.idempotent = false;
        value.idempotencyKey = "0199d5f0-0000-7000-8000-000000000001";
        value.keyHash = 99;
        value.fingerprint = 78;
        return value;
    }

    std::shared_ptr<request_run> start(call request, std::chrono::milliseconds deadline = std::chrono::seconds(30))
    {
        request.acceptedAt = clock.now();
        request.deadline = clock.now() + deadline;
        error_response error;
        auto permit = admitted.admit(request.operatorName, {}, request.priority, clock.now(), error);
        auto run =
            std::make_shared<request_run>(environment, std::move(request), std::make_unique<fake_scheduler>(steps),
                                          std::make_shared<fake_responder>(response), std::move(permit));
        run->begin();
        steps.run();
        return run;
    }

    /// Delivers a message on a stream (counted from 1, by default the last one) and sets its attempt number if it is 0.
    template<typename Message>
    void deliver(Message message, std::size_t stream = 0)
    {
        auto &to = link.streams.at(stream == 0 ? link.streams.size() - 1 : stream - 1);
        message.attempt = message.attempt == 0 ? to.run().attempt : message.attempt;
        to.callbacks.onMessage(message);
        steps.run();
    }

    void endStream(peer::stream_end end, std::size_t stream = 0)
    {
        link.streams.at(stream == 0 ? link.streams.size() - 1 : stream - 1).callbacks.onEnd(end, "test");
        steps.run();
    }

    void sendAccepted()
    {
        peer::run_accepted message;
        message.by = {"by", 5};
        deliver(message);
    }

    void sendHead(int status = 200)
    {
        peer::run_head message;
        message.status = status;
        message.headers = {{"Content-Type", "text/event-stream"}, {"Connection", "close"}};
        deliver(message);
    }

    void sendChunk(std::uint64_t offset, std::string data)
    {
        deliver(peer::run_chunk{0, offset, std::move(data)});
    }

    void sendEnd(std::uint64_t total)
    {
        deliver(peer::run_end{0, total});
        endStream(peer::stream_end::finished);
    }

    /// Sends all messages of an attempt whose response body is "answer".
    void sendResponse()
    {
        sendAccepted();
        sendHead();
        const std::uint64_t from = link.streams.back().run().resumeFrom;
        sendChunk(from, std::string("answer").substr(from));
        sendEnd(6);
    }

    [[nodiscard]] const peer::run_request &lastRun() const
    {
        return link.streams.back().run();
    }

    core::manual_clock clock{core::wall_time(std::chrono::milliseconds(1'764'800'000'000))};
    step_queue steps{clock};
    entry_settings settings;
    tickets::state tickets;
    instances::view view;
    trace::recorder trace;
    metrics::registry registry;
    run_metrics metrics{registry};
    target_directory targets{settings, view, clock, trace};
    fake_link link;
    shared_suspects suspects{{}};
    retry_budget retries{0.2, 100};
    admission admitted{100};
    std::shared_ptr<received_response> response = std::make_shared<received_response>();
    std::shared_ptr<const run_environment> environment = std::make_shared<run_environment>(
        run_environment{settings, clock, tickets, targets, link, suspects, retries, metrics, trace, nullptr});
};

} // namespace medlarrack::entry::test
