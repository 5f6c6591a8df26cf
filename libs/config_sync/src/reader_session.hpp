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

/// Executes the actions of an update_planner. All events run on one strand. The handler mutex is held while an event is
/// handled, so that stop() can wait for it; it comes first in the lock order. The status mutex is a leaf. Callbacks of
/// pending calls hold weak references.
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
    /// Handles an event on the strand and then runs the actions that are due, unless stopped.
    template<typename Handler>
    void onStrand(Handler handler);
    template<typename Handler>
    void handle(Handler &handler);
    void runPlanner();
    void armTimer();
    void run(const read_changes &call);
    void run(const read_instances &call);
    void run(const query_peer &query);
    void get(const std::string &path, std::chrono::milliseconds wait, body_handler handler);
    void onChangesResponse(std::uint64_t after, const http::client_result &result, const std::string &body);
    void onInstancesResponse(const http::client_result &result, const std::string &body);
    void onPeerReply(const query_peer &query, const std::optional<peer::tickets_reply> &reply);
    /// Converts the HTTP result of a call to the service and counts failures.
    [[nodiscard]] call_result classify(const http::client_result &result);
    [[nodiscard]] call_result recordMalformedAnswer(const core::reason &why);
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
    /// When the planner last ran, in nanoseconds of monotonic time.
    std::atomic<core::monotonic_time::rep> m_lastPlannerRun{0};
    std::recursive_mutex m_handlerMutex;
    mutable std::mutex m_statusMutex;
    reader_status m_status;
};

} // namespace medlarrack::config_sync::detail
