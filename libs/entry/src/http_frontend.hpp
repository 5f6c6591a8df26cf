#pragma once

#include "admission.hpp"
#include "call_parser.hpp"
#include "run_environment.hpp"
#include "run_table.hpp"

#include <medlarrack/http/message.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/metrics/registry.hpp>

#include <asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::entry {

/// Functions of the entry that the HTTP front end calls.
struct frontend_hooks
{
    /// Returns why the entry isn't ready; empty when it is.
    std::function<std::string()> notReadyReason;
    /// Returns why the current state isn't known yet; empty when it is.
    std::function<std::string()> stateUnknownReason;
    /// Returns the body of /debug/state.
    std::function<std::string()> debugState;
    /// Called before the metrics are rendered.
    std::function<void()> refreshMetrics;
};

/// Handles HTTP requests: authenticates, parses and admits requests of callers and starts their processing, and serves
/// the pages for health checks and operators.
class http_frontend
{
public:
    http_frontend(asio::io_context &context, std::shared_ptr<const run_environment> environment, admission &admission,
                  metrics::registry &registry, frontend_hooks hooks);

    /// Handles a request on the callers' port, which also serves the operators' pages if they have no separate port.
    void handleCaller(const http::request &request, const std::shared_ptr<http::responder> &responder,
                      bool withOperatorPages);
    /// Handles a request on the operators' port.
    void handleAdmin(const http::request &request, http::responder &responder) const;
    /// Refuses new requests of callers from now on.
    void refuseNewRequests();
    /// Ends the requests in progress, each with a response that says what is known of it.
    void endRequests();

private:
    /// Returns false if the path isn't one of the operators' pages.
    bool serveOperatorPage(const http::request &request, http::responder &responder) const;
    /// Returns false if the path isn't one of the health checks.
    bool serveHealthPage(const http::request &request, http::responder &responder) const;
    void handleAuthenticated(const http::request &request, const std::shared_ptr<http::responder> &responder,
                             const std::string &operatorName);
    void startRun(call request, const std::shared_ptr<http::responder> &responder);
    void listModels(const http::request &request, http::responder &responder, const std::string &operatorName) const;
    void issueIdempotencyKey(const http::request &request, http::responder &responder,
                             const std::string &operatorName) const;
    void refuse(http::responder &responder, const error_response &error) const;

    asio::io_context &m_context;
    const std::shared_ptr<const run_environment> m_environment;
    admission &m_admission;
    metrics::registry &m_registry;
    const frontend_hooks m_hooks;
    const call_parser m_parser;
    run_table m_runs;
    std::atomic<bool> m_refuseNewRequests{false};
};

} // namespace medlarrack::entry
