#pragma once

#include <medlarrack/gateway/replica.hpp>
#include <medlarrack/gateway/run_stop.hpp>

#include <functional>
#include <string_view>

namespace medlarrack::gateway {

/// Stops runs at replicas that may not notice that their connection was closed.
class run_stopper
{
public:
    /// Gets the answer; returns whether the copied memory is used. Memory that isn't used is freed.
    using answer_handler = std::function<bool(const stop_answer &answer)>;

    run_stopper() = default;
    run_stopper(const run_stopper &) = delete;
    run_stopper &operator=(const run_stopper &) = delete;
    virtual ~run_stopper() = default;

    /// Asks a replica to stop the run of a request that is to go on at another one. The handler isn't called from
    /// within this function, and not after the stopper has ended.
    virtual void stop(const replica &at, std::string_view requestId, const replica &successor,
                      answer_handler handler) = 0;
};

} // namespace medlarrack::gateway
