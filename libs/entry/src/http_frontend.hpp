#pragma once

#include "admission.hpp"
#include "call_parser.hpp"
#include "run_environment.hpp"

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

/// What the front asks of the entry.
struct front_hooks
{
    /// Readiness: empty when ready, else why not.
    std::function<std::string()> notReady;
    /// Empty when the state in force is known, else why not.
    std::function<std::string()> stateUnknown;
    /// The page of /debug/state.
    std::function<std::string()> debugState;
    /// Called before the metrics are rendered.
    std::function<void()> refreshMetrics;
};

/// Answers callers' HTTP requests: checks keys, parses, admits, and starts the life of each request.
class front
{
public:
    front(asio::io_context &context, std::shared_ptr<const run_environment> environment, admission &admission,
          metrics::registry &registry, front_hooks hooks);

    /// A request on the callers' port. Operators' pages are served there too when they have no port of their own.
    void handleCaller(const http::request &request, const std::shared_ptr<http::responder> &responder,
                      bool withOperatorPages);
    /// A request on the operators' port.
    void handleAdmin(const http::request &request, http::responder &responder) const;
    /// New requests get "Connection: close" from now on.
    void refuseNew();

private:
    /// False when the path is none of theirs.
    bool operatorPage(const http::request &request, http::responder &responder) const;
    bool healthPage(const http::request &request, http::responder &responder) const;
    void authenticated(const http::request &request, const std::shared_ptr<http::responder> &responder,
                       const std::string &operatorName);
    void run(call request, const std::shared_ptr<http::responder> &responder);
    void models(const http::request &request, http::responder &responder, const std::string &operatorName) const;
    void mintKey(const http::request &request, http::responder &responder, const std::string &operatorName) const;
    void refuse(http::responder &responder, const error_response &error) const;

    asio::io_context &m_context;
    const std::shared_ptr<const run_environment> m_environment;
    admission &m_admission;
    metrics::registry &m_registry;
    const front_hooks m_hooks;
    const call_parser m_parser;
    std::atomic<bool> m_refusing{false};
};

} // namespace medlarrack::entry
