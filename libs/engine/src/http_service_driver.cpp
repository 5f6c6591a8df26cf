#include "http_calls.hpp"

#include <medlarrack/engine/http_service_driver.hpp>

#include <chrono>
#include <utility>

namespace medlarrack::engine {
namespace {

constexpr std::chrono::milliseconds pollTimeout{1'000};
constexpr int statusOk = 200;

} // namespace

class http_service_driver::impl
{
public:
    impl(http::client &client, std::string baseUrl)
        : m_client(client)
        , m_baseUrl(std::move(baseUrl))
        , m_calls(std::make_shared<detail::http_calls>(client))
    {
    }

    void run(call_id id, target_call call, call_callbacks callbacks)
    {
        http::client_request request;
        request.method = std::move(call.method);
        request.url = m_baseUrl + call.path;
        request.timeout = call.timeout;
        request.freshConnection = !call.idempotent;
        request.body = std::move(call.body);
        if (const auto type = http::findHeader(call.headers, "Content-Type")) {
            request.headers.emplace_back("Content-Type", *type);
        }
        request.headers.emplace_back("X-Request-Id", call.requestId);
        if (!call.idempotencyKey.empty()) {
            request.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        }
        http::client_callbacks hooks;
        hooks.onHead = [onHead = std::move(callbacks.onHead)](int status, const http::header_list &headers) {
            onHead(status, detail::contentHeaders(headers));
        };
        hooks.onData = std::move(callbacks.onData);
        hooks.onEnd = [onEnd = std::move(callbacks.onEnd)](const http::client_result &result) {
            const bool whole = result.progress == http::client_progress::complete;
            onEnd(whole ? call_result{call_end::complete, {}} : detail::brokenResult(result));
        };
        m_calls->start(id, std::move(request), std::move(hooks));
    }

    void cancel(call_id id)
    {
        m_calls->cancel(id);
    }

    void poll(std::function<void(std::optional<target_load>)> callback)
    {
        http::client_request request;
        request.url = m_baseUrl + "/health";
        request.timeout = pollTimeout;
        http::fetch(m_client, std::move(request),
                    [callback = std::move(callback)](const http::client_result &result, const std::string & /*body*/) {
                        const bool good =
                            result.progress == http::client_progress::complete && result.status == statusOk;
                        callback(good ? std::optional(target_load{}) : std::nullopt);
                    });
    }

    void stop()
    {
        m_client.stop();
    }

private:
    http::client &m_client;
    std::string m_baseUrl;
    std::shared_ptr<detail::http_calls> m_calls;
};

http_service_driver::http_service_driver(http::client &client, std::string baseUrl)
    : m_impl(std::make_shared<impl>(client, std::move(baseUrl)))
{
}

http_service_driver::~http_service_driver() = default;

void http_service_driver::run(call_id id, target_call call, call_callbacks callbacks)
{
    m_impl->run(id, std::move(call), std::move(callbacks));
}

void http_service_driver::cancel(call_id id)
{
    m_impl->cancel(id);
}

void http_service_driver::load(const core::adapter_ref & /*adapter*/, const std::string & /*source*/,
                               std::uint64_t /*fence*/, order_callback callback)
{
    callback(order_end::failed);
}

void http_service_driver::unload(const core::adapter_ref & /*adapter*/, std::uint64_t /*fence*/,
                                 order_callback callback)
{
    callback(order_end::not_loaded);
}

void http_service_driver::poll(std::function<void(std::optional<target_load>)> callback)
{
    m_impl->poll(std::move(callback));
}

void http_service_driver::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::engine
