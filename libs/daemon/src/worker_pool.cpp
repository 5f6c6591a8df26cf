#include <medlarrack/daemon/worker_pool.hpp>

#include <thread>
#include <vector>

namespace medlarrack::daemon {

class worker_pool::impl
{
public:
    std::vector<std::jthread> threads;
};

worker_pool::worker_pool(asio::io_context &context, std::size_t threads)
    : m_impl(std::make_unique<impl>())
{
    for (std::size_t index = 0; index < threads; ++index) {
        m_impl->threads.emplace_back([&context] {
            context.run();
        });
    }
}

worker_pool::~worker_pool() = default;

void worker_pool::join()
{
    m_impl->threads.clear();
}

} // namespace medlarrack::daemon
