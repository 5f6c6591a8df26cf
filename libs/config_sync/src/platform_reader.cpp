#include "reader_session.hpp"

#include <medlarrack/config_sync/platform_reader.hpp>

#include <utility>

namespace medlarrack::config_sync {

/// A session of its own type, so that the public header doesn't depend on reader_session.hpp.
class platform_reader::impl : public detail::reader_session
{
public:
    using detail::reader_session::reader_session;
};

platform_reader::platform_reader(asio::io_context &context, http::client &client, reader_settings settings,
                                 tickets::state &state, instances::view &view, const core::clock &clock,
                                 reader_callbacks callbacks)
    : m_impl(std::make_shared<impl>(context, client, std::move(settings), state, view, clock, std::move(callbacks)))
{
}

platform_reader::~platform_reader()
{
    m_impl->stop();
}

void platform_reader::start()
{
    m_impl->start();
}

void platform_reader::stop()
{
    m_impl->stop();
}

bool platform_reader::ready() const
{
    return m_impl->ready();
}

void platform_reader::noteNewest(std::uint64_t newestTicket, std::string_view senderId)
{
    m_impl->noteNewest(newestTicket, senderId);
}

peer::tickets_reply platform_reader::answer(const peer::tickets_request &request) const
{
    return m_impl->answer(request);
}

reader_status platform_reader::status() const
{
    return m_impl->status();
}

} // namespace medlarrack::config_sync
