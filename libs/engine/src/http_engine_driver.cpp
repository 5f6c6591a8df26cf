#include "answer_check.hpp"
#include "engine_protocol.hpp"
#include "http_calls.hpp"

#include <medlarrack/engine/http_engine_driver.hpp>

#include <chrono>
#include <utility>

namespace medlarrack::engine {
namespace {

constexpr std::chrono::milliseconds cancelTimeout{1'000};
/// Covers a load from a store that is slowed down by many others.
constexpr std::chrono::milliseconds loadTimeout{20'000};
constexpr std::chrono::milliseconds unloadTimeout{5'000};
constexpr std::chrono::milliseconds pollTimeout{1'000};
/// Largest whole answer, and largest event of a stream.
constexpr std::size_t maxAnswerBytes = 16U << 20U;
/// Largest error answer that is passed on.
constexpr std::size_t maxErrorBytes = 64U << 10U;
constexpr int statusOk = 200;
constexpr int firstServerError = 500;

http::header_list jsonHeaders()
{
    return {{"Content-Type", "application/json"}};
}

/// One completion at the engine. Its functions are never called at the same time.
class completion
{
public:
    completion(const target_call &call, call_callbacks callbacks, std::function<void()> breakOff)
        : m_requestId(call.requestId)
        , m_check(call.requestId, call.model, call.stream, maxAnswerBytes)
        , m_callbacks(std::move(callbacks))
        , m_breakOff(std::move(breakOff))
    {
    }

    void onHead(int status, const http::header_list &headers)
    {
        m_status = status;
        m_headers = detail::contentHeaders(headers);
        const auto answered = http::findHeader(headers, "X-Request-Id");
        if (answered && *answered != m_requestId) {
            fail({"crossed_answer", "the engine answered another request"});
        }
    }

    void onData(std::string_view piece)
    {
        if (m_failure) {
            return;
        }
        if (m_status != statusOk) {
            keepError(piece);
            return;
        }
        std::string passed;
        core::reason why;
        if (!m_check.feed(piece, passed, why)) {
            fail(std::move(why));
            return;
        }
        pass(passed);
    }

    void onEnd(const http::client_result &result)
    {
        if (m_failure) {
            finish({call_end::broken, *m_failure});
        } else if (result.progress != http::client_progress::complete) {
            finish(detail::brokenResult(result));
        } else if (m_status == statusOk) {
            finishAnswer();
        } else {
            finishError();
        }
    }

private:
    void keepError(std::string_view piece)
    {
        if (m_error.size() + piece.size() > maxErrorBytes) {
            fail({"answer_too_large", "the engine's error answer is larger than allowed"});
            return;
        }
        m_error.append(piece);
    }

    void fail(core::reason why)
    {
        m_failure = std::move(why);
        m_breakOff();
    }

    void pass(std::string_view bytes)
    {
        if (bytes.empty()) {
            return;
        }
        if (!m_headPassed) {
            m_headPassed = true;
            m_callbacks.onHead(m_status, m_headers);
        }
        m_callbacks.onData(bytes);
    }

    void finishAnswer()
    {
        std::string passed;
        core::reason why;
        if (!m_check.finish(passed, why)) {
            finish({call_end::broken, std::move(why)});
            return;
        }
        pass(passed);
        finish({call_end::complete, {}});
    }

    void finishError()
    {
        if (detail::isDeclined(m_status, m_error)) {
            finish({call_end::declined, {detail::errorCode(m_error), "the engine did not take the request"}});
            return;
        }
        if (m_status >= firstServerError) {
            const std::string message = "the engine answered with status " + std::to_string(m_status);
            finish({call_end::broken, {"engine_error", message}});
            return;
        }
        pass(m_error);
        if (!m_headPassed) {
            m_callbacks.onHead(m_status, m_headers);
        }
        finish({call_end::complete, {}});
    }

    void finish(const call_result &result)
    {
        m_callbacks.onEnd(result);
    }

    std::string m_requestId;
    detail::answer_check m_check;
    call_callbacks m_callbacks;
    std::function<void()> m_breakOff;
    int m_status = 0;
    http::header_list m_headers;
    std::string m_error;
    std::optional<core::reason> m_failure;
    bool m_headPassed = false;
};

} // namespace

class http_engine_driver::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(http::client &client, std::string baseUrl)
        : m_client(client)
        , m_baseUrl(std::move(baseUrl))
        , m_calls(std::make_shared<detail::http_calls>(client))
    {
    }

    void run(call_id id, const target_call &call, call_callbacks callbacks)
    {
        auto body = detail::completionBody(call);
        if (!body) {
            callbacks.onEnd({call_end::not_sent, {"bad_body", "the request's body is no JSON object"}});
            return;
        }
        http::client_request request = post(call.path, std::move(*body), call.timeout);
        request.headers.emplace_back("X-Request-Id", call.requestId);
        request.freshConnection = !call.idempotent;
        {
            const std::scoped_lock lock(m_mutex);
            m_requestIds.emplace(id, call.requestId);
        }
        const auto breakOff = [calls = m_calls, id] {
            calls->cancel(id);
        };
        const auto state = std::make_shared<completion>(call, std::move(callbacks), breakOff);
        http::client_callbacks hooks;
        hooks.onHead = [state](int status, const auto &headers) {
            state->onHead(status, headers);
        };
        hooks.onData = [state](std::string_view piece) {
            state->onData(piece);
        };
        hooks.onEnd = [self = shared_from_this(), id, state](const auto &result) {
            self->forget(id);
            state->onEnd(result);
        };
        m_calls->start(id, std::move(request), std::move(hooks));
    }

    void cancel(call_id id)
    {
        const auto requestId = findRequestId(id);
        if (!requestId) {
            return;
        }
        // The engine is told first: when the exchange ends, it doesn't run the request any more.
        http::fetch(m_client, post("/v1/cancel", detail::cancelBody(*requestId), cancelTimeout),
                    [calls = m_calls, id](const auto & /*result*/, const std::string & /*body*/) {
                        calls->cancel(id);
                    });
    }

    void order(const std::string &path, std::string body, std::chrono::milliseconds timeout, order_callback callback)
    {
        http::fetch(m_client, post(path, std::move(body), timeout),
                    [callback = std::move(callback)](const http::client_result &result, const std::string &answer) {
                        callback(endOf(result, answer));
                    });
    }

    void poll(std::function<void(std::optional<target_load>)> callback)
    {
        http::client_request request;
        request.url = m_baseUrl + "/load";
        request.timeout = pollTimeout;
        http::fetch(m_client, std::move(request),
                    [callback = std::move(callback)](const http::client_result &result, const std::string &answer) {
                        const bool good =
                            result.progress == http::client_progress::complete && result.status == statusOk;
                        callback(good ? detail::parseLoad(answer) : std::nullopt);
                    });
    }

    void stop()
    {
        m_client.stop();
    }

private:
    static order_end endOf(const http::client_result &result, const std::string &answer)
    {
        switch (result.progress) {
        case http::client_progress::not_sent:
            return order_end::not_sent;
        case http::client_progress::sent:
            return order_end::unknown;
        case http::client_progress::complete:
            break;
        }
        return detail::orderEnd(result.status, answer);
    }

    http::client_request post(const std::string &path, std::string body, std::chrono::milliseconds timeout) const
    {
        http::client_request request;
        request.method = "POST";
        request.url = m_baseUrl + path;
        request.headers = jsonHeaders();
        request.body = std::move(body);
        request.timeout = timeout;
        return request;
    }

    std::optional<std::string> findRequestId(call_id id)
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_requestIds.find(id);
        return found == m_requestIds.end() ? std::nullopt : std::optional(found->second);
    }

    void forget(call_id id)
    {
        const std::scoped_lock lock(m_mutex);
        m_requestIds.erase(id);
    }

    http::client &m_client;
    std::string m_baseUrl;
    std::shared_ptr<detail::http_calls> m_calls;
    /// Guards the requests' identities; a leaf in the lock order.
    std::mutex m_mutex;
    std::unordered_map<call_id, std::string> m_requestIds;
};

http_engine_driver::http_engine_driver(http::client &client, std::string baseUrl)
    : m_impl(std::make_shared<impl>(client, std::move(baseUrl)))
{
}

http_engine_driver::~http_engine_driver() = default;

void http_engine_driver::run(call_id id, target_call call, call_callbacks callbacks)
{
    m_impl->run(id, call, std::move(callbacks));
}

void http_engine_driver::cancel(call_id id)
{
    m_impl->cancel(id);
}

void http_engine_driver::load(const core::adapter_ref &adapter, const std::string &source, std::uint64_t fence,
                              order_callback callback)
{
    m_impl->order("/v1/load_lora_adapter", detail::loadBody(adapter, source, fence), loadTimeout, std::move(callback));
}

void http_engine_driver::unload(const core::adapter_ref &adapter, std::uint64_t fence, order_callback callback)
{
    m_impl->order("/v1/unload_lora_adapter", detail::unloadBody(adapter, fence), unloadTimeout, std::move(callback));
}

void http_engine_driver::poll(std::function<void(std::optional<target_load>)> callback)
{
    m_impl->poll(std::move(callback));
}

void http_engine_driver::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::engine
