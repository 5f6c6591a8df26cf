#pragma once

#include "scheduler.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace medlarrack::entry {

/// Scheduler on a strand of the io_context.
class strand_scheduler final : public scheduler
{
public:
    explicit strand_scheduler(asio::io_context &context);

    void post(std::function<void()> step) override;
    void startTimer(std::chrono::nanoseconds delay, std::function<void()> step) override;
    void cancelTimer() override;

private:
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
};

} // namespace medlarrack::entry
