#include "http_frontend.hpp"

#include "request_run.hpp"
#include "run_metrics.hpp"
#include "strand_scheduler.hpp"

#include <medlarrack/core/uuid.hpp>
#include <medlarrack/trace/recorder.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace medlarrack::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto drainingRetryAfter = 1'000ms;
constexpr auto notReadyRetryAfter = 1'000ms;
constexpr std::string_view debugRequestsPrefix = "/debug/requests/";

void respondJson(http::responder &responder, std::string body)
{
    responder.respond(200, {{"Content-Type", "application/json"}}, std::move(body));
}

void respondText(http::responder &responder, int status, std::string body)
{
    responder.respond(status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body));
}

std::string dump(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::string_view> bearerKey(const http::request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = http::findHeader(request.headers, "Authorization");
    if (!header || !header->starts_with(scheme)) {
        return std::nullopt;
    }
    return header->substr(scheme.size());
}

bool isCompletion(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

error_response wrongMethod(std::string_view expected)
{
    return {405, "wrong_method", "this path takes " + std::string(expected) + " only", core::outcome::not_run, {}};
}

error_response unknownPath()
{
    return {404, "unknown_path", "nothing is served at this path", core::outcome::not_run, {}};
}

} // namespace

http_frontend::http_frontend(asio::io_context &context, std::shared_ptr<const run_environment> environment,
                             admission &admission, metrics::registry &registry, frontend_hooks hooks)
    : m_context(context)
    , m_environment(std::move(environment))
    , m_admission(admission)
    , m_registry(registry)
    , m_hooks(std::move(hooks))
    , m_parser(m_environment->settings.requests, m_environment->tickets, m_environment->clock)
{
}

void http_frontend::handleCaller(const http::request &request, const std::shared_ptr<http::responder> &responder,
                                 bool withOperatorPages)
{
    if (serveHealthPage(request, *responder) || (withOperatorPages && serveOperatorPage(request, *responder))) {
        return;
    }
    const auto key = bearerKey(request);
    if (!key) {
        refuse(*responder,
               {401, "missing_key", "a header \"Authorization: Bearer <key>\" is needed", core::outcome::not_run, {}});
        return;
    }
    const auto operatorName = m_environment->tickets.authenticate(*key);
    if (!operatorName) {
        refuse(*responder, {401, "wrong_key", "the key is not valid", core::outcome::not_run, {}});
        return;
    }
    handleAuthenticated(request, responder, *operatorName);
}

void http_frontend::handleAdmin(const http::request &request, http::responder &responder) const
{
    if (!serveHealthPage(request, responder) && !serveOperatorPage(request, responder)) {
        refuse(responder, unknownPath());
    }
}

void http_frontend::refuseNewRequests()
{
    m_refuseNewRequests = true;
}

void http_frontend::endRequests()
{
    m_runs.endAll();
}

bool http_frontend::serveHealthPage(const http::request &request, http::responder &responder) const
{
    if (request.path() == "/healthz") {
        respondText(responder, 200, "ok\n");
        return true;
    }
    if (request.path() == "/readyz") {
        const std::string reason = m_hooks.notReadyReason();
        respondText(responder, reason.empty() ? 200 : 503, reason.empty() ? "ready\n" : reason + "\n");
        return true;
    }
    return false;
}

bool http_frontend::serveOperatorPage(const http::request &request, http::responder &responder) const
{
    const std::string_view path = request.path();
    if (path == "/metrics") {
        m_hooks.refreshMetrics();
        responder.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_registry.text());
        return true;
    }
    if (path == "/debug/state") {
        respondJson(responder, m_hooks.debugState());
        return true;
    }
    if (path.starts_with(debugRequestsPrefix)) {
        const auto json = m_environment->trace.requestJson(path.substr(debugRequestsPrefix.size()));
        if (json) {
            respondJson(responder, *json);
        } else {
            respondError(responder,
                         {404, "unknown_request", "nothing is kept of this request", core::outcome::unknown, {}}, {});
        }
        return true;
    }
    return false;
}

void http_frontend::handleAuthenticated(const http::request &request, const std::shared_ptr<http::responder> &responder,
                                        const std::string &operatorName)
{
    const std::string_view path = request.path();
    if (path == "/v1/models") {
        listModels(request, *responder, operatorName);
        return;
    }
    if (path == "/v1/idempotency-keys") {
        issueIdempotencyKey(request, *responder, operatorName);
        return;
    }
    const bool completion = isCompletion(path);
    if (!completion && !path.starts_with("/services/")) {
        refuse(*responder, unknownPath());
        return;
    }
    if (completion && request.method != "POST") {
        refuse(*responder, wrongMethod("POST"));
        return;
    }
    const std::string reason = m_hooks.stateUnknownReason();
    if (!reason.empty()) {
        refuse(*responder, {503, "not_ready", reason, core::outcome::not_run, notReadyRetryAfter});
        return;
    }
    if (m_refuseNewRequests) {
        refuse(*responder,
               {503, "draining", "this entry is shutting down", core::outcome::not_run, drainingRetryAfter});
        return;
    }
    error_response error;
    auto parsed = completion ? m_parser.completion(request, operatorName, error)
                             : m_parser.serviceCall(request, operatorName, error);
    if (!parsed) {
        refuse(*responder, error);
        return;
    }
    startRun(std::move(*parsed), responder);
}

void http_frontend::startRun(call request, const std::shared_ptr<http::responder> &responder)
{
    const auto limits = m_environment->tickets.findOperator(request.operatorName);
    error_response error;
    auto permit = m_admission.admit(request.operatorName, limits ? *limits : tickets::operator_state{},
                                    request.priority, request.acceptedAt, error);
    if (!permit) {
        m_environment->metrics.ended(request, error.code, error.outcome, request.acceptedAt);
        respondError(*responder, error, request.requestId);
        return;
    }
    const auto requestRun = std::make_shared<request_run>(
        m_environment, std::move(request), std::make_unique<strand_scheduler>(m_context), responder, std::move(permit));
    requestRun->begin();
    responder->onClosed([weak = std::weak_ptr(requestRun)] {
        if (const auto run = weak.lock()) {
            run->onCallerDisconnected();
        }
    });
    m_runs.add(requestRun);
}

void http_frontend::listModels(const http::request &request, http::responder &responder,
                               const std::string &operatorName) const
{
    if (request.method != "GET") {
        refuse(responder, wrongMethod("GET"));
        return;
    }
    // Written one by one: as values, a long list takes several times its text.
    std::string body = R"({"data":[)";
    bool isFirst = true;
    for (const std::string &name : m_environment->tickets.adaptersOf(operatorName)) {
        const auto adapter = m_environment->tickets.findAdapter(name);
        if (!adapter) {
            continue;
        }
        for (const auto &[version, source] : adapter->versions) {
            body += std::exchange(isFirst, false) ? "" : ",";
            body += dump({{"id", name + "@" + version},
                          {"object", "model"},
                          {"owned_by", operatorName},
                          {"parent", adapter->baseModel},
                          {"current", version == adapter->current}});
        }
    }
    body += R"(],"object":"list"})";
    respondJson(responder, std::move(body));
}

void http_frontend::issueIdempotencyKey(const http::request &request, http::responder &responder,
                                        const std::string &operatorName) const
{
    if (request.method != "POST") {
        refuse(responder, wrongMethod("POST"));
        return;
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const bool hasService = body.is_object() && body.contains("service") && body["service"].is_string();
    if (!hasService) {
        refuse(responder,
               {400, "bad_json", "the body must be a JSON object with a text \"service\"", core::outcome::not_run, {}});
        return;
    }
    const auto service = m_environment->tickets.findService(body["service"].get_ref<const std::string &>());
    if (!service) {
        refuse(responder, {404, "unknown_service", "no service of this name", core::outcome::not_run, {}});
        return;
    }
    if (!service->allows(operatorName)) {
        refuse(responder,
               {403, "service_not_allowed", "this operator may not call the service", core::outcome::not_run, {}});
        return;
    }
    routing::routing_request routingRequest;
    routingRequest.now = m_environment->clock.now();
    std::string key = m_environment->targets.makeKey(body["service"].get_ref<const std::string &>(), routingRequest);
    respondJson(responder, dump({{"idempotency_key", std::move(key)}}));
}

void http_frontend::refuse(http::responder &responder, const error_response &error) const
{
    m_environment->metrics.refused(error.code);
    respondError(responder, error, core::makeUuid7(m_environment->clock.wallNow()));
}

} // namespace medlarrack::entry
