#pragma once

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace medlarrack::daemon {

/// Threads that run one io_context.
class worker_pool
{
public:
    worker_pool(asio::io_context &context, std::size_t threads);
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    /// Blocks until the io_context has been stopped or has no work left.
    void join();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::daemon
