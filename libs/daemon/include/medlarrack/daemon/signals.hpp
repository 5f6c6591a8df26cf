#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace medlarrack::daemon {

/// Calls back once at the first SIGTERM or SIGINT; further ones are ignored. With a second callback, calls it at each
/// SIGHUP, which otherwise ends the process. SIGPIPE is ignored throughout.
class signals
{
public:
    signals(asio::io_context &context, std::function<void()> onTerminate, std::function<void()> onReload = {});
    ~signals();
    signals(const signals &) = delete;
    signals &operator=(const signals &) = delete;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::daemon
