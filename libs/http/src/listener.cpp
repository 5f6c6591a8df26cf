#include "listener.hpp"

#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <chrono>
#include <exception>
#include <sys/socket.h>
#include <utility>

namespace medlarrack::http::detail {

namespace {

constexpr int noSocket = -1;
/// Pause after an error, such as too many open files, that would recur at once.
constexpr std::chrono::milliseconds retryPause{100};

connection_link *parsedLink()
{
    return parsing_scope::current;
}

restinio::impl::http_parser_ctx_t &contextOf(http_parser *parser)
{
    return *static_cast<restinio::impl::http_parser_ctx_t *>(parser->data);
}

int onHeadersComplete(http_parser *parser)
{
    if (connection_link *link = parsedLink()) {
        link->onHead();
    }
    return restinio::impl::restinio_headers_complete_cb(parser);
}

int onBody(http_parser *parser, const char *at, std::size_t length)
{
    const int result = restinio::impl::restinio_body_cb(parser, at, length);
    if (connection_link *link = parsedLink(); link != nullptr && result == 0) {
        link->onBody(contextOf(parser).m_body.size());
    }
    return result;
}

/// RESTinio records each chunk, which takes many times the memory of a body in short chunks, and nobody reads it.
int onChunkHeader(http_parser *)
{
    return 0;
}

int onMessageComplete(http_parser *parser)
{
    using methods_mapper = restinio_traits::http_methods_mapper_t;
    // The request that RESTinio makes of it is constant, so the body would have to be copied.
    if (connection_link *link = parsedLink()) {
        link->keepBody(std::exchange(contextOf(parser).m_body, {}));
    }
    return restinio::impl::restinio_message_complete_cb<methods_mapper>(parser);
}

http_parser_settings makeParserSettings()
{
    auto made = restinio::impl::create_parser_settings<restinio_traits::http_methods_mapper_t>();
    made.on_headers_complete = &onHeadersComplete;
    made.on_body = &onBody;
    made.on_chunk_header = &onChunkHeader;
    made.on_message_complete = &onMessageComplete;
    return made;
}

std::shared_ptr<restinio::impl::connection_factory_t<restinio_traits>>
makeConnectionFactory(asio::io_context &context, listener::settings_type settings)
{
    auto timers = settings.timer_factory()->create(context);
    auto socketOptions = settings.socket_options_setter();
    auto connectionSettings = std::make_shared<restinio::impl::connection_settings_t<restinio_traits>>(
        std::move(settings), makeParserSettings(), std::move(timers));
    return std::make_shared<restinio::impl::connection_factory_t<restinio_traits>>(std::move(connectionSettings),
                                                                                   std::move(socketOptions));
}

} // namespace

listener::listener(asio::io_context &context, settings_type settings)
    : m_context(context)
    , m_connections(makeConnectionFactory(context, std::move(settings)))
    , m_acceptor(asio::make_strand(context))
    , m_retryTimer(m_acceptor.get_executor())
    , m_socket(noSocket)
{
}

void listener::open(const std::string &address, std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address == "localhost" ? "127.0.0.1" : address),
                                           port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
    m_socket = m_acceptor.native_handle();
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        self->accept();
    });
}

std::uint16_t listener::port() const
{
    return m_port;
}

void listener::stop()
{
    const int socket = m_socket.exchange(noSocket);
    if (socket == noSocket) {
        return;
    }
    // Takes effect at once, on whatever thread, and doesn't touch the acceptor; the strand may be busy or its context
    // stopped.
    ::shutdown(socket, SHUT_RDWR);
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        asio::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
    });
}

void listener::accept()
{
    if (m_socket == noSocket) {
        return;
    }
    m_incoming.emplace(m_context);
    m_acceptor.async_accept(m_incoming->lowest_layer(), [self = shared_from_this()](const asio::error_code &error) {
        self->onAccepted(error);
    });
}

void listener::onAccepted(const asio::error_code &error)
{
    if (m_socket == noSocket) {
        m_incoming.reset();
        return;
    }
    if (!error) {
        startConnection();
    }
    if (!error || error == asio::error::connection_aborted) {
        accept();
        return;
    }
    m_retryTimer.expires_after(retryPause);
    m_retryTimer.async_wait([self = shared_from_this()](const asio::error_code &cancelled) {
        if (!cancelled) {
            self->accept();
        }
    });
}

void listener::startConnection()
{
    try {
        const asio::ip::tcp::endpoint remote = m_incoming->lowest_layer().remote_endpoint();
        m_connections->create_new_connection(std::move(*m_incoming), remote, {nullptr})->init();
    } catch (const std::exception &) {
        // The caller has left already; its socket is closed with what holds it.
        m_incoming.reset();
    }
}

} // namespace medlarrack::http::detail
