#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/core/request_class.hpp>
#include <medlarrack/engine/target_load.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What a sidecar does with its target: model engines and plain services behind one interface.
namespace medlarrack::engine {

/// A request for the target.
struct target_call
{
    std::string requestId;
    std::string method;
    /// Path and query.
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Model that has to answer ("adapter@version" or a base model's name); empty for a plain service.
    std::string model;
    core::request_class priority = core::request_class::interactive;
    bool stream = false;
    /// The target may run it more than once.
    bool idempotent = true;
    std::string idempotencyKey;
    /// Time for the whole call.
    std::chrono::milliseconds timeout{30'000};
};

/// How a call ended, and what that proves.
enum class call_end {
    /// The answer is whole and from the right model.
    complete,
    /// No byte left this process: the target did not run it.
    not_sent,
    /// The target said that it did not run it.
    declined,
    /// It may have run; the answer is missing, broken off or not the one asked for.
    broken,
    /// Ended by cancel(); it may have run. The target doesn't run it any more, as far as it answers.
    cancelled,
};

/// The end of a call. The reason is set unless the call is complete.
struct call_result
{
    call_end end = call_end::broken;
    core::reason why;
};

/// Called on worker threads, never at the same time for one call.
struct call_callbacks
{
    /// Once, before any data.
    std::function<void(int status, const std::vector<std::pair<std::string, std::string>> &headers)> onHead;
    /// Checked bytes of the body, unchanged.
    std::function<void(std::string_view piece)> onData;
    /// Once, last.
    std::function<void(const call_result &)> onEnd;
};

/// How an order for an adapter ended.
enum class order_end {
    done,
    /// The load failed.
    failed,
    /// The weight store is busy.
    store_busy,
    /// The target has no free slot.
    no_slot,
    /// The adapter to unload isn't loaded.
    not_loaded,
    /// The adapter to unload is in use.
    in_use,
    /// The target follows a newer process than this one.
    old_fence,
    /// The order never left this process.
    not_sent,
    /// No answer: the order may have been carried out.
    unknown,
};

using order_callback = std::function<void(order_end)>;

/// One target. Thread-safe; callbacks come on worker threads and may come before the starting function returns.
class target_driver
{
public:
    using call_id = std::uint64_t;

    target_driver() = default;
    target_driver(const target_driver &) = delete;
    target_driver &operator=(const target_driver &) = delete;
    virtual ~target_driver() = default;

    /// Starts a call. The identity is chosen by the caller and unique among calls in progress.
    virtual void run(call_id id, target_call call, call_callbacks callbacks) = 0;
    /// Tells the target to stop a call and breaks it off; onEnd follows unless it has been called.
    virtual void cancel(call_id id) = 0;
    /// Orders the target to load an adapter from a source.
    virtual void load(const core::adapter_ref &adapter, const std::string &source, std::uint64_t fence,
                      order_callback callback) = 0;
    virtual void unload(const core::adapter_ref &adapter, std::uint64_t fence, order_callback callback) = 0;
    /// Asks for the target's load; nothing when it doesn't answer.
    virtual void poll(std::function<void(std::optional<target_load>)> callback) = 0;
    /// Breaks everything off; nothing starts afterwards.
    virtual void stop() = 0;
};

} // namespace medlarrack::engine
