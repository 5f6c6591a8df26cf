#include "admin_pages.hpp"

#include <utility>

namespace medlarrack::sidecar::detail {
namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusNotAllowed = 405;
constexpr int statusUnavailable = 503;
constexpr std::string_view requestsPath = "/debug/requests/";

void answerText(http::responder &answer, int status, std::string body)
{
    answer.respond(status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body));
}

void answerJson(http::responder &answer, int status, std::string body)
{
    answer.respond(status, {{"Content-Type", "application/json"}}, std::move(body));
}

} // namespace

admin_pages::admin_pages(const metrics::registry &metrics, const request_journal &journal, std::function<bool()> ready,
                         std::function<std::string()> state)
    : m_metrics(metrics)
    , m_journal(journal)
    , m_ready(std::move(ready))
    , m_state(std::move(state))
{
}

void admin_pages::handle(const http::request &request, http::responder &answer) const
{
    const std::string_view path = request.path();
    if (request.method != "GET") {
        answerText(answer, statusNotAllowed, "only GET\n");
    } else if (path == "/metrics") {
        answerText(answer, statusOk, m_metrics.text());
    } else if (path == "/healthz") {
        answerText(answer, statusOk, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = m_ready();
        answerText(answer, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
    } else if (path == "/debug/state") {
        answerJson(answer, statusOk, m_state());
    } else if (path.starts_with(requestsPath)) {
        explain(path.substr(requestsPath.size()), answer);
    } else {
        answerText(answer, statusNotFound, "no such page\n");
    }
}

void admin_pages::explain(std::string_view requestId, http::responder &answer) const
{
    auto known = m_journal.explain(std::string(requestId));
    if (!known) {
        answerJson(answer, statusNotFound, R"({"error":{"code":"unknown_request","message":"not seen here lately"}})");
        return;
    }
    answerJson(answer, statusOk, std::move(*known));
}

} // namespace medlarrack::sidecar::detail
