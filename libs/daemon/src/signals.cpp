#include <medlarrack/daemon/signals.hpp>

#include <asio/signal_set.hpp>

#include <csignal>
#include <pthread.h>
#include <utility>

namespace medlarrack::daemon {

namespace {

sigset_t heldSignals()
{
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGTERM);
    sigaddset(&held, SIGINT);
    sigaddset(&held, SIGHUP);
    return held;
}

} // namespace

void holdSignals()
{
    const sigset_t held = heldSignals();
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

class signals::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, std::function<void()> onTerminate, std::function<void()> onReload)
        : m_set(context, SIGTERM, SIGINT)
        , m_onTerminate(std::move(onTerminate))
        , m_onReload(std::move(onReload))
    {
        if (m_onReload) {
            m_set.add(SIGHUP);
        }
    }

    void wait()
    {
        m_set.async_wait([self = shared_from_this()](const std::error_code &error, int number) {
            if (error) {
                return;
            }
            // Later signals are taken and ignored, so that they can't end the process by default.
            self->wait();
            if (number == SIGHUP) {
                self->m_onReload();
                return;
            }
            if (auto callback = std::exchange(self->m_onTerminate, nullptr)) {
                callback();
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
    std::function<void()> m_onTerminate;
    std::function<void()> m_onReload;
};

signals::signals(asio::io_context &context, std::function<void()> onTerminate, std::function<void()> onReload)
    : m_impl(std::make_shared<impl>(context, std::move(onTerminate), std::move(onReload)))
{
    std::signal(SIGPIPE, SIG_IGN);
    m_impl->wait();
    const sigset_t held = heldSignals();
    pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
}

signals::~signals()
{
    m_impl->cancel();
}

} // namespace medlarrack::daemon
