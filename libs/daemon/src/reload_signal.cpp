#include <medlarrack/daemon/reload_signal.hpp>

#include <asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace medlarrack::daemon {

class reload_signal::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, std::function<void()> onReload)
        : m_set(context, SIGHUP)
        , m_onReload(std::move(onReload))
    {
    }

    void wait()
    {
        m_set.async_wait([self = shared_from_this()](const std::error_code &error, int) {
            if (!error) {
                self->wait();
                self->m_onReload();
            }
        });
    }

    void cancel()
    {
        std::error_code ignored;
        m_set.cancel(ignored);
    }

private:
    asio::signal_set m_set;
    std::function<void()> m_onReload;
};

reload_signal::reload_signal(asio::io_context &context, std::function<void()> onReload)
    : m_impl(std::make_shared<impl>(context, std::move(onReload)))
{
    m_impl->wait();
}

reload_signal::~reload_signal()
{
    m_impl->cancel();
}

} // namespace medlarrack::daemon
