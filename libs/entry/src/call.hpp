#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/request_class.hpp>
#include <medlarrack/http/message.hpp>
#include <medlarrack/peer/messages.hpp>

#include <cstdint>
#include <string>

namespace medlarrack::entry {

/// A caller's validated request, with the resolved target group, adapter or service.
struct call
{
    std::string requestId;
    peer::work_kind kind = peer::work_kind::completion;
    std::string operatorName;
    core::request_class priority = core::request_class::interactive;
    core::monotonic_time acceptedAt{};
    core::monotonic_time deadline{};
    /// Group of targets that can run the request.
    std::string group;
    core::adapter_ref adapter;
    std::string baseModel;
    std::string service;
    std::string method;
    std::string path;
    http::header_list headers;
    std::string body;
    bool stream = false;
    bool idempotent = true;
    /// Set for non-idempotent requests. If the caller gave none, it is created when processing starts.
    std::string idempotencyKey;
    /// Hash of operator, adapter or service call, and body.
    std::uint64_t fingerprint = 0;
    /// Hash of adapter and version; 0 for services.
    std::uint64_t adapterHash = 0;
    /// Hash of the idempotency key; 0 when idempotent.
    std::uint64_t keyHash = 0;
};

} // namespace medlarrack::entry
