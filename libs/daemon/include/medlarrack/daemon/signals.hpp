#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace medlarrack::daemon {

/// Holds SIGTERM, SIGINT and SIGHUP back until they are taken: by default they would end a process that starts. To be
/// called first in main, before other threads.
void holdSignals();

/// Takes signals, also those held back. Calls back once at the first SIGTERM or SIGINT; further ones are ignored. With
/// a second callback, calls it at each SIGHUP, which otherwise ends the process. SIGPIPE is ignored throughout.
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
