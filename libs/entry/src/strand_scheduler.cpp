#include "strand_scheduler.hpp"

#include <asio/post.hpp>

#include <utility>

namespace medlarrack::entry {

strand_scheduler::strand_scheduler(asio::io_context &context)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
{
}

void strand_scheduler::post(std::function<void()> step)
{
    asio::post(m_strand, std::move(step));
}

void strand_scheduler::startTimer(std::chrono::nanoseconds delay, std::function<void()> step)
{
    m_timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(delay));
    m_timer.async_wait([step = std::move(step)](const std::error_code &error) {
        if (!error) {
            step();
        }
    });
}

void strand_scheduler::cancelTimer()
{
    m_timer.cancel();
}

} // namespace medlarrack::entry
