#pragma once

#include <medlarrack/adapter_cache/lru_eviction.hpp>
#include <medlarrack/adapter_cache/rate_limited_load_budget.hpp>
#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/idempotency/request_key.hpp>
#include <medlarrack/sidecar/dispatcher.hpp>

#include <memory>
#include <string>
#include <vector>

namespace medlarrack::sidecar::tests {

using namespace std::chrono_literals;

/// Records calls, orders and polls; the test supplies the target's answers.
class fake_driver final : public engine::target_driver
{
public:
    struct order
    {
        bool isLoad = false;
        core::adapter_ref adapter;
        std::uint64_t fence = 0;
        engine::order_callback callback;
    };
    struct running_call
    {
        call_id id = 0;
        engine::target_call call;
        engine::call_callbacks callbacks;
    };

    void run(call_id id, engine::target_call call, engine::call_callbacks callbacks) override
    {
        calls.push_back({id, std::move(call), std::move(callbacks)});
    }

    void cancel(call_id id) override
    {
        cancelled.push_back(id);
    }

    void load(const core::adapter_ref &adapter, const std::string & /*source*/, std::uint64_t fence,
              engine::order_callback callback) override
    {
        orders.push_back({true, adapter, fence, std::move(callback)});
    }

    void unload(const core::adapter_ref &adapter, std::uint64_t fence, engine::order_callback callback) override
    {
        orders.push_back({false, adapter, fence, std::move(callback)});
    }

    void poll(std::function<void(std::optional<engine::target_load>)> callback) override
    {
        polls.push_back(std::move(callback));
    }

    void stop() override
    {
    }

    /// Answers the oldest pending poll.
    void answerPoll(std::optional<engine::target_load> load)
    {
        auto callback = std::move(polls.front());
        polls.erase(polls.begin());
        callback(std::move(load));
    }

    void answerOrder(std::size_t index, engine::order_end end)
    {
        const auto callback = orders.at(index).callback;
        callback(end);
    }

    void end(std::size_t index, engine::call_end end, const std::string &code = "")
    {
        const auto callback = calls.at(index).callbacks.onEnd;
        callback({end, {code, code}});
    }

    std::vector<running_call> calls;
    std::vector<call_id> cancelled;
    std::vector<order> orders;
    std::vector<std::function<void(std::optional<engine::target_load>)>> polls;
};

/// Records the messages sent on the stream.
class fake_reply final : public peer::reply_stream
{
public:
    void send(const peer::message &value) override
    {
        if (!ended) {
            sent.push_back(value);
        }
    }

    void end() override
    {
        ended = true;
    }

    void refuse() override
    {
        ended = true;
    }

    std::size_t bufferedBytes() const override
    {
        return buffered;
    }

    void onClosed(std::function<void()> callback) override
    {
        closed = std::move(callback);
    }

    /// All messages of a type.
    template<typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const peer::message &message : sent) {
            if (const T *value = std::get_if<T>(&message)) {
                found.push_back(*value);
            }
        }
        return found;
    }

    /// The last refusal sent, if any.
    std::optional<peer::run_refused> refusal() const
    {
        const auto found = all<peer::run_refused>();
        return found.empty() ? std::nullopt : std::optional(found.back());
    }

    std::string body() const
    {
        std::string whole;
        for (const auto &chunk : all<peer::run_chunk>()) {
            whole += chunk.data;
        }
        return whole;
    }

    std::vector<peer::message> sent;
    bool ended = false;
    std::size_t buffered = 0;
    std::function<void()> closed;
};

/// A dispatcher with fakes and a manual clock; the target has two slots and runs two requests at a time.
struct dispatcher_fixture
{
    static constexpr core::wall_time startTime{1'764'800'000'000ms};
    static constexpr std::uint64_t engineStart = 1'764'700'000'000;

    explicit dispatcher_fixture(bool isEngine = true)
        : options(makeOptions(isEngine))
        , subject(options,
                  {clock, driver, eviction, budget, metrics, journal,
                   [] {
                       return std::uint64_t{7};
                   },
                   [](const core::adapter_ref &adapter) {
                       return "store/" + adapter.toString();
                   },
                   [this](const std::string &member, const std::string &key) {
                       sealRequests.emplace_back(member, key);
                   }})
    {
    }

    static dispatcher_options makeOptions(bool isEngine)
    {
        dispatcher_options result;
        result.self = {"sidecar-1", 1};
        result.isEngine = isEngine;
        result.service = isEngine ? "" : "pivot";
        result.limits.concurrency = 2;
        result.limits.slots.slots = 2;
        result.maxBodyBytes = 1000;
        result.maxBufferedBytes = 1000;
        return result;
    }

    static engine::target_load engineLoad(std::uint64_t startedMs = engineStart)
    {
        engine::target_load load;
        load.startedMs = startedMs;
        load.slots = 2;
        load.batchSize = 2;
        return load;
    }

    /// Passes an instance list with these members and the current time to the dispatcher.
    void listMembers(const std::vector<std::string> &members)
    {
        subject.onInstanceList(clock.wallNow(), members);
    }

    /// Answers the target's first poll, so that the dispatcher becomes ready.
    void connectTarget()
    {
        subject.tick();
        driver.answerPoll(options.isEngine ? engineLoad() : engine::target_load{});
    }

    static peer::run_request completion(const std::string &id, const std::string &adapter)
    {
        peer::run_request request;
        request.requestId = id;
        request.attempt = 3;
        request.operatorName = "farm";
        request.adapter = {"farm/" + adapter, "v1"};
        request.baseModel = "base-8b";
        request.path = "/v1/completions";
        request.body = "{}";
        request.idempotent = true;
        request.stream = true;
        return request;
    }

    /// A key bound to this sidecar, which therefore needs no seals.
    static std::string boundKey()
    {
        return idempotency::makeBoundKey(startTime, {"sidecar-1", 1});
    }

    /// Turns a request into a non-idempotent one with a key bound to this sidecar.
    static peer::run_request nonIdempotent(peer::run_request request)
    {
        request.idempotent = false;
        request.idempotencyKey = boundKey();
        return request;
    }

    static peer::run_request serviceCall(const std::string &id, bool idempotent)
    {
        peer::run_request request;
        request.requestId = id;
        request.attempt = 3;
        request.kind = peer::work_kind::service_call;
        request.operatorName = "farm";
        request.service = "pivot";
        request.method = "POST";
        request.path = "/start";
        request.idempotent = idempotent;
        request.idempotencyKey = idempotent ? "" : boundKey();
        return request;
    }

    std::shared_ptr<fake_reply> submit(const peer::run_request &request)
    {
        auto reply = std::make_shared<fake_reply>();
        subject.submit(request, reply);
        return reply;
    }

    /// Connects the target, submits a request and, for an engine, completes the load of its adapter.
    std::shared_ptr<fake_reply> startRequest(const peer::run_request &request)
    {
        connectTarget();
        auto reply = submit(request);
        if (options.isEngine) {
            driver.answerOrder(0, engine::order_end::done);
        }
        return reply;
    }

    void advanceTime(std::chrono::milliseconds time, std::chrono::milliseconds step = 50ms)
    {
        for (auto passed = 0ms; passed < time; passed += step) {
            clock.advance(step);
            subject.tick();
        }
    }

    core::manual_clock clock{startTime};
    fake_driver driver;
    adapter_cache::lru_eviction eviction;
    adapter_cache::rate_limited_load_budget budget{100, 100, 100, clock.now()};
    metrics::registry metrics;
    request_journal journal{clock, 100, 32};
    /// Requested seals: id of the replica and key.
    std::vector<std::pair<std::string, std::string>> sealRequests;
    dispatcher_options options;
    dispatcher subject;
};

} // namespace medlarrack::sidecar::tests
