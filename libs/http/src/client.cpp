#include "client_impl.hpp"

#include <medlarrack/http/client.hpp>

#include <utility>

namespace medlarrack::http {

client::client(asio::io_context &context, std::size_t maxConnectionsPerHost)
    : m_impl(std::make_shared<impl>(context, maxConnectionsPerHost))
{
}

client::~client()
{
    stop();
}

client::call_id client::start(client_request request, client_callbacks callbacks)
{
    return m_impl->start(std::move(request), std::move(callbacks));
}

void client::cancel(call_id call)
{
    m_impl->cancel(call);
}

void client::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::http
