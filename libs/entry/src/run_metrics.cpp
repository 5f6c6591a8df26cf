#include "run_metrics.hpp"

#include <string>

namespace medlarrack::entry {

namespace {

double secondsOf(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

metrics::labels labelsOf(const call &request, std::string_view code = {})
{
    return {std::string(core::toString(request.priority)), request.operatorName, std::string(code)};
}

} // namespace

run_metrics::run_metrics(metrics::registry &registry)
    : m_registry(registry)
{
}

void run_metrics::ended(const call &request, std::string_view code, core::outcome outcome, core::monotonic_time now)
{
    m_registry.count("medlarrack_entry_requests_total", "Requests ended, by code", labelsOf(request, code));
    m_registry.count("medlarrack_entry_outcomes_total", "Requests ended, by outcome",
                     labelsOf(request, core::toString(outcome)));
    m_registry.observeSeconds("medlarrack_entry_request_seconds", "Time from accepting a request to its end",
                              labelsOf(request), secondsOf(now - request.acceptedAt));
}

void run_metrics::refused(std::string_view code)
{
    m_registry.count("medlarrack_entry_refused_total", "Requests refused before any attempt, by code",
                     {"", "", std::string(code)});
}

void run_metrics::firstByte(const call &request, core::monotonic_time now)
{
    m_registry.observeSeconds("medlarrack_entry_first_token_seconds",
                              "Time from accepting a streamed request to the first piece of its answer",
                              labelsOf(request), secondsOf(now - request.acceptedAt));
}

void run_metrics::loadStall(const call &request, std::chrono::microseconds stall)
{
    m_registry.observeSeconds("medlarrack_entry_load_stall_seconds",
                              "Time that a completion waited for its adapter to load", labelsOf(request),
                              secondsOf(stall));
}

void run_metrics::retried(const call &request, std::string_view cause)
{
    m_registry.count("medlarrack_entry_retries_total", "Further attempts, by the cause of the one before",
                     labelsOf(request, cause));
}

void run_metrics::suspected(const call &request)
{
    m_registry.count("medlarrack_entry_target_crashes_total", "Attempts that ended by a crash of their target",
                     labelsOf(request));
}

void run_metrics::dropped()
{
    m_registry.count("medlarrack_entry_dropped_messages_total", "Late or crossed messages dropped", {});
}

} // namespace medlarrack::entry
