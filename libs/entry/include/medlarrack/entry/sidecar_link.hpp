#pragma once

#include <medlarrack/peer/client.hpp>

namespace medlarrack::entry {

/// Interface to sidecars. Separates request processing from peer::client, so that tests can inject faults at any point.
class sidecar_link
{
public:
    sidecar_link() = default;
    sidecar_link(const sidecar_link &) = delete;
    sidecar_link &operator=(const sidecar_link &) = delete;
    virtual ~sidecar_link() = default;

    /// As peer::client::start().
    virtual peer::client::stream_id start(const peer::endpoint &to, const peer::message &request,
                                          peer::stream_callbacks callbacks) = 0;
    /// As peer::client::cancel().
    virtual void cancel(peer::client::stream_id stream) = 0;
};

/// Implementation over peer::client.
class peer_link final : public sidecar_link
{
public:
    explicit peer_link(peer::client &client);

    peer::client::stream_id start(const peer::endpoint &to, const peer::message &request,
                                  peer::stream_callbacks callbacks) override;
    void cancel(peer::client::stream_id stream) override;

private:
    peer::client &m_client;
};

} // namespace medlarrack::entry
