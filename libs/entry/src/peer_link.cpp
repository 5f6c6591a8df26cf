#include <medlarrack/entry/sidecar_link.hpp>

#include <utility>

namespace medlarrack::entry {

peer_link::peer_link(peer::client &client)
    : m_client(client)
{
}

peer::client::stream_id peer_link::start(const peer::endpoint &to, const peer::message &request,
                                         peer::stream_callbacks callbacks)
{
    return m_client.start(to, request, std::move(callbacks));
}

void peer_link::cancel(peer::client::stream_id stream)
{
    m_client.cancel(stream);
}

} // namespace medlarrack::entry
