#include "caller.hpp"

#include "result_reader.hpp"

#include <nlohmann/json.hpp>

#include <memory>

namespace medlarrack::load {

namespace {

/// How much longer than the deadline a caller listens, so that a late answer is told from none.
constexpr std::chrono::milliseconds listenAfterDeadline{2'000};

std::chrono::microseconds since(core::monotonic_time start, core::monotonic_time now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
}

std::string completionBody(const planned_request &request)
{
    nlohmann::json body = {{"model", request.model}, {"max_tokens", request.maxTokens}, {"stream", request.stream}};
    if (request.kind == request_kind::chat) {
        body["messages"] = {{{"role", "user"}, {"content", request.prompt}}};
    } else {
        body["prompt"] = request.prompt;
    }
    return body.dump();
}

} // namespace

caller::caller(http::client &client, const load_options &options, const core::clock &clock, key_table &keys,
               result_callback onResult)
    : m_client(client)
    , m_options(options)
    , m_clock(clock)
    , m_keys(keys)
    , m_onResult(std::move(onResult))
{
}

http::client_request caller::makeRequest(const planned_request &request, const std::string &key) const
{
    http::client_request call;
    const std::string &base = m_options.entries[request.entry % m_options.entries.size()];
    call.method = "POST";
    call.timeout = request.deadline + listenAfterDeadline;
    call.headers = {{"X-Deadline-Ms", std::to_string(request.deadline.count())},
                    {"X-Priority", std::string(core::toString(request.priority))}};
    if (const auto bearer = m_options.keys.find(request.operatorName); bearer != m_options.keys.end()) {
        call.headers.emplace_back("Authorization", "Bearer " + bearer->second);
    }
    if (!key.empty()) {
        call.headers.emplace_back("Idempotency-Key", key);
    }
    if (request.kind == request_kind::service_call) {
        call.method = request.method;
        call.url = base + "/services/" + request.service + request.path;
        call.body = request.body;
    } else {
        call.url = base + (request.kind == request_kind::chat ? "/v1/chat/completions" : "/v1/completions");
        call.body = completionBody(request);
    }
    if (!call.body.empty()) {
        call.headers.emplace_back("Content-Type", "application/json");
    }
    return call;
}

void caller::send(const planned_request &request)
{
    const std::string key = m_keys.keyFor(request.keyLabel);
    const auto answer = std::make_shared<exchange>();
    const auto start = m_clock.now();
    http::client_callbacks callbacks;
    callbacks.onHead = [answer](int, const http::header_list &headers) {
        answer->headers = headers;
    };
    callbacks.onData = [this, answer, start](std::string_view piece) {
        if (!answer->firstPiece) {
            answer->firstPiece = since(start, m_clock.now());
        }
        answer->body += piece;
    };
    callbacks.onEnd = [this, answer, start, request, key](const http::client_result &end) {
        answer->end = end;
        answer->latency = since(start, m_clock.now());
        m_onResult(readResult(request, key, *answer));
    };
    m_client.start(makeRequest(request, key), std::move(callbacks));
}

} // namespace medlarrack::load
