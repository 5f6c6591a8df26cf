#include "server_socket.hpp"

#include "connection_link.hpp"
#include "lingering_close.hpp"
#include "status_text.hpp"

#include <asio/buffer.hpp>

#include <string>

namespace medlarrack::http::detail {

namespace {

thread_local int dueErrorStatus = 0;

std::string errorAnswer(int status)
{
    const std::string text(statusText(status));
    const std::string code = status == 413 ? "body_too_large"
        : status == 431                    ? "headers_too_large"
        : status == 503                    ? "no_memory"
                                           : "bad_request";
    const std::string body = R"({"error":{"code":")" + code + R"(","message":")" + text + R"(","outcome":"not_run"}})";
    return "HTTP/1.1 " + std::to_string(status) + " " + text
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + (status == 503 ? "\r\nRetry-After: 1" : "") + "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace

void setDueErrorStatus(int status)
{
    dueErrorStatus = status;
}

server_socket::server_socket(asio::io_context &context)
    : m_context(context)
    , m_socket(context)
{
}

server_socket::server_socket(server_socket &&other) noexcept = default;

server_socket::~server_socket()
{
    if (m_link) {
        m_link->forget();
    }
}

const std::shared_ptr<connection_link> &server_socket::makeLink()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto remote = m_socket.remote_endpoint(ignored);
    m_link = std::make_shared<connection_link>(m_context.get_executor(), m_socket.native_handle(),
                                               remote.address().to_string());
    return m_link;
}

void server_socket::cancel(asio::error_code &error)
{
    m_socket.cancel(error);
}

void server_socket::cancelRead()
{
    asio::error_code ignored;
    m_socket.cancel(ignored);
}

void server_socket::shutdown(socket_type::shutdown_type what, asio::error_code &error)
{
    const int parseError = std::exchange(dueErrorStatus, 0);
    const int refusal = m_link ? m_link->takeRefusal() : 0;
    const int status = parseError != 0 ? parseError : refusal;
    // An answer in progress on this connection must not be followed by one that its caller could take for it.
    if (status != 0 && m_link && !m_link->busy()) {
        answerError(status);
        return;
    }
    m_socket.shutdown(what, error);
}

void server_socket::answerError(int status)
{
    const std::string answer = errorAnswer(status);
    asio::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.write_some(asio::buffer(answer), error);
    m_link->dropRead();
    m_link->markClosed();
    std::make_shared<lingering_close>(std::move(m_socket))->start();
}

void server_socket::close()
{
    if (m_link) {
        m_link->dropRead();
        m_link->markClosed();
    }
    asio::error_code ignored;
    m_socket.close(ignored);
}

} // namespace medlarrack::http::detail
