#pragma once

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace medlarrack::daemon {

/// Calls back at each SIGHUP.
class reload_signal
{
public:
    reload_signal(asio::io_context &context, std::function<void()> onReload);
    ~reload_signal();
    reload_signal(const reload_signal &) = delete;
    reload_signal &operator=(const reload_signal &) = delete;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::daemon
