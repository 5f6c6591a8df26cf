#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/request_class.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarrack::overload {

/// A request in a run queue.
struct queue_item
{
    /// Identifies the request within its process.
    std::uint64_t id = 0;
    core::request_class priority = core::request_class::interactive;
    std::string operatorName;
    /// Adapter that the request needs; empty if its service uses the base model.
    core::adapter_ref adapter;
    core::monotonic_time enqueued{};
    core::monotonic_time deadline{};
    /// Memory that the request holds, in bytes.
    std::size_t bytes = 0;
};

} // namespace medlarrack::overload
