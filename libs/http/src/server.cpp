#include "connection_link.hpp"
#include "connection_table.hpp"
#include "listener.hpp"
#include "restinio_responder.hpp"
#include "restinio_traits.hpp"

#include <medlarrack/core/idle_allowance.hpp>
#include <medlarrack/http/server.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <exception>
#include <string_view>
#include <utility>

namespace medlarrack::http {

namespace {

/// Field limits of the parser beside the sum that maxHeaderBytes limits.
constexpr std::size_t maxHeaderFields = 256;
/// How often timeouts are checked.
constexpr std::chrono::milliseconds timeoutCheckPeriod{100};
/// RESTinio limits the time of handlers; ours have deadlines of their own.
constexpr std::chrono::hours handlerTimeLimit{24 * 365};
/// With two, RESTinio goes on reading while a request is in progress, and so notices that the caller has left.
constexpr std::size_t maxPipelinedRequests = 2;
/// Memory is given back within moments, as peers that stand still are turned away.
constexpr std::string_view memoryRetryAfterSeconds = "1";

request makeRequest(const restinio::request_t &raw, std::string body)
{
    request made;
    made.method = raw.header().method().c_str();
    made.target = raw.header().request_target();
    raw.header().for_each_field([&made](const restinio::http_header_field_t &field) {
        made.headers.emplace_back(field.name(), field.value());
    });
    made.body = std::move(body);
    return made;
}

std::size_t headerBytes(const header_list &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

namespace {

/// Relieves memory at short intervals until it is stopped.
class memory_watch : public std::enable_shared_from_this<memory_watch>
{
public:
    memory_watch(asio::io_context &context, std::shared_ptr<detail::connection_table> table)
        : m_timer(asio::make_strand(context))
        , m_table(std::move(table))
    {
    }

    void start()
    {
        asio::post(m_timer.get_executor(), [self = shared_from_this()] {
            self->wait();
        });
    }

private:
    void wait()
    {
        // At each one, one request and one response at most are ended.
        constexpr std::chrono::milliseconds interval{25};
        m_timer.expires_after(interval);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (self && !error && !self->m_table->stopped()) {
                self->m_table->relieveMemory(std::chrono::steady_clock::now());
                self->wait();
            }
        });
    }

    asio::steady_timer m_timer;
    std::shared_ptr<detail::connection_table> m_table;
};

} // namespace

class server::impl
{
public:
    impl(asio::io_context &context, server_limits limits, request_handler handler)
        : m_context(context)
        , m_limits(std::move(limits))
        , m_handler(std::make_shared<request_handler>(std::move(handler)))
        , m_table(std::make_shared<detail::connection_table>(m_limits.maxConnections, m_limits.budget))
    {
    }

    bool start(const std::string &address, std::uint16_t port, core::reason &why)
    {
        try {
            auto opened = std::make_shared<detail::listener>(m_context, settings());
            opened->open(address, port);
            m_listener = std::move(opened);
        } catch (const std::exception &error) {
            why = {"cannot_listen", "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.what()};
            return false;
        }
        if (m_limits.budget) {
            m_memoryWatch = std::make_shared<memory_watch>(m_context, m_table);
            m_memoryWatch->start();
        }
        return true;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_listener ? m_listener->port() : 0;
    }

    void stopAccepting()
    {
        m_table->closeAfterResponses();
        if (m_listener) {
            m_listener->stop();
        }
    }

    void stop()
    {
        stopAccepting();
        m_table->stop();
    }

private:
    detail::listener::settings_type settings()
    {
        core::idle_allowance idle(m_limits.readTimeout);
        const auto reusableFor = idle.announce(m_limits.readTimeout);
        idle.onIdle(m_limits.readTimeout);
        detail::listener::settings_type made;
        made.timer_manager(timeoutCheckPeriod)
            .read_next_http_message_timelimit(idle.timeout())
            .write_http_response_timelimit(m_limits.writeTimeout)
            .handle_request_timeout(handlerTimeLimit)
            .max_pipelined_requests(maxPipelinedRequests)
            .connection_state_listener(std::make_shared<detail::connection_listener>(m_table))
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(m_limits.maxHeaderBytes)
                                          .max_field_name_size(m_limits.maxHeaderBytes)
                                          .max_field_value_size(m_limits.maxHeaderBytes)
                                          .max_field_count(maxHeaderFields)
                                          .max_body_size(m_limits.maxBodyBytes))
            .request_handler([limits = m_limits, reusableFor, handler = m_handler, table = m_table](auto raw) {
                return handle(limits, reusableFor, *handler, table, std::move(raw));
            });
        return made;
    }

    static restinio::request_handling_status_t handle(const server_limits &limits, std::chrono::seconds reusableFor,
                                                      const request_handler &handler,
                                                      const std::shared_ptr<const detail::connection_table> &table,
                                                      restinio::request_handle_t raw)
    {
        auto link = table->find(raw->connection_id());
        if (!link || table->stopped()) {
            return restinio::request_rejected();
        }
        auto received = makeRequest(*raw, link->takeBody());
        auto claim = link->onRequest();
        auto answer = std::make_shared<detail::restinio_responder>(
            std::move(raw), std::move(link), table, limits.maxBufferedBytes, reusableFor, std::move(claim));
        if (limits.budget && limits.budget->isOverfull()) {
            answer->respond(
                503, {{"Content-Type", "application/json"}, {"Retry-After", std::string(memoryRetryAfterSeconds)}},
                R"({"error":{"code":"no_memory","message":"the memory for requests is used up","outcome":"not_run"}})");
        } else if (headerBytes(received.headers) > limits.maxHeaderBytes) {
            answer->respond(
                431, {{"Content-Type", "application/json"}, {"Connection", "close"}},
                R"({"error":{"code":"headers_too_large","message":"headers too large","outcome":"not_run"}})");
        } else {
            handler(std::move(received), std::move(answer));
        }
        return restinio::request_accepted();
    }

    asio::io_context &m_context;
    server_limits m_limits;
    std::shared_ptr<request_handler> m_handler;
    std::shared_ptr<detail::connection_table> m_table;
    std::shared_ptr<detail::listener> m_listener;
    std::shared_ptr<memory_watch> m_memoryWatch;
};

server::server(asio::io_context &context, server_limits limits, request_handler handler)
    : m_impl(std::make_unique<impl>(context, std::move(limits), std::move(handler)))
{
}

server::~server()
{
    stop();
}

bool server::start(const std::string &address, std::uint16_t port, core::reason &why)
{
    return m_impl->start(address, port, why);
}

std::uint16_t server::port() const
{
    return m_impl->port();
}

void server::stopAccepting()
{
    m_impl->stopAccepting();
}

void server::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::http
