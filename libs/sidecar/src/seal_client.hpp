#pragma once

#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/messages.hpp>

#include <functional>
#include <optional>
#include <string>

namespace medlarrack::sidecar::detail {

/// Requests seals of idempotency keys from other replicas. Thread-safe.
class seal_client
{
public:
    using reply_handler = std::function<void(const std::string &memberId, const std::string &key,
                                             const std::optional<peer::seal_reply> &reply)>;

    /// Client and view must outlive this object. The handler is called once for each request, with nullopt if the
    /// replica is not listed or did not reply.
    seal_client(peer::client &client, const instances::view &view, std::string group, core::instance_ref self,
                reply_handler onReply);

    void request(const std::string &memberId, const std::string &key);

private:
    peer::client &m_client;
    const instances::view &m_view;
    const std::string m_group;
    const core::instance_ref m_self;
    const reply_handler m_onReply;
};

} // namespace medlarrack::sidecar::detail
