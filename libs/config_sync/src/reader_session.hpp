#pragma once

#include "service_answers.hpp"

#include <medlarrack/config_sync/platform_reader.hpp>
#include <medlarrack/config_sync/update_planner.hpp>
#include <medlarrack/http/client.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace medlarrack::config_sync::detail {

/// Carries out what an update_planner decides. All events run on one strand. The running mutex is held while one is
/// handled, so that stop() can wait for it; it comes first in the lock order. The status mutex is a leaf.
class reader_session : public std::enable_shared_from_this<reader_session>
{
public:
    reader_session(asio::io_context &context, http::client &client, reader_settings settings, tickets::state &state,
                   instances::view &view, const core::clock &clock, reader_callbacks callbacks);

    void start();
    void stop();
    [[nodiscard]] bool ready() const;
    void noteNewest(std::uint64_t newestTicket, std::string_view senderId);
    [[nodiscard]] peer::tickets_reply answer(const peer::tickets_request &request) const;
    [[nodiscard]] reader_status status() const;

private:
    using body_handler = std::function<void(const http::client_result &, const std::string &)>;

    [[nodiscard]] ticket_position position() const;
    /// Handles an event on the strand and does what is due then, unless stopped.
    template<typename Handler>
    void onStrand(Handler handler);
    template<typename Handler>
    void handle(Handler &handler);
    void drive();
    void armTimer();
    void run(const read_changes &call);
    void run(const read_instances &call);
    void run(const ask_peer &question);
    void get(const std::string &path, std::chrono::milliseconds timeout, body_handler handler);
    void takeChanges(std::uint64_t after, const http::client_result &result, const std::string &body);
    void takeInstances(const http::client_result &result, const std::string &body);
    void takeReply(const ask_peer &question, const std::optional<peer::tickets_reply> &reply);
    /// How a call of the service ended; counts failures.
    [[nodiscard]] call_result judge(const http::client_result &result);
    [[nodiscard]] call_result badAnswer(const core::reason &why);
    void report(const changes_outcome &outcome);
    void updateStatus(const std::function<void(reader_status &)> &change);

    const reader_settings m_settings;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    http::client &m_client;
    tickets::state &m_state;
    instances::view &m_view;
    const core::clock &m_clock;
    const reader_callbacks m_callbacks;
    /// Used on the strand only.
    update_planner m_planner;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_ready{false};
    /// When the planner was last asked, in nanoseconds of monotonic time.
    std::atomic<core::monotonic_time::rep> m_lastDrive{0};
    std::recursive_mutex m_running;
    mutable std::mutex m_statusMutex;
    reader_status m_status;
};

} // namespace medlarrack::config_sync::detail
