#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/listen.hpp>
#include <medlarrack/http1/message_parser.hpp>
#include <medlarrack/http1/page_server.hpp>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <list>
#include <utility>

namespace medlarrack::http1 {

namespace {

constexpr std::size_t maxHeadBytes = 8'192;
/// Requests for pages have no use for a body; a short one is passed over.
constexpr std::size_t maxBodyBytes = 8'192;
constexpr std::size_t maxConnections = 32;
/// Connections that stay open behind a response; the others say that they end, so that there is room for new ones.
constexpr std::ptrdiff_t maxKeptConnections = 16;
/// Delay after a failed accept. While the descriptors are used up, the next try would fail at once.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

std::string toText(const page &answer, bool omitsBody, bool keepsConnection)
{
    std::string out = "HTTP/1.1 " + std::to_string(answer.status) + (answer.status == 200 ? " OK" : " Not Ready");
    out += "\r\nContent-Type: " + answer.contentType;
    if (!keepsConnection) {
        out += "\r\nConnection: close";
    }
    out += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    return omitsBody ? out : out + answer.body;
}

} // namespace

class page_server::impl : public std::enable_shared_from_this<impl>
{
public:
    class connection final : public byte_stream_listener
    {
    public:
        connection(impl &owner, std::shared_ptr<byte_stream> opened)
            : stream(std::move(opened))
            , m_owner(owner)
            , m_parser(message_kind::request, maxHeadBytes)
        {
            stream->setListener(this);
            stream->startReading();
        }

        void onBytes(std::string_view bytes) override
        {
            while (!bytes.empty()) {
                const std::size_t consumed = m_parser.feed(bytes);
                bytes.remove_prefix(consumed);
                if (m_parser.state() == parse_state::complete) {
                    if (!respond()) {
                        return;
                    }
                } else if (consumed == 0 || m_parser.body().size() > maxBodyBytes
                           || m_parser.state() == parse_state::malformed
                           || m_parser.state() == parse_state::head_too_long) {
                    end();
                    return;
                }
            }
        }

        void onPeerEnd() override
        {
            end();
        }

        void onLost(std::string_view) override
        {
        }

        /// Whether its caller was told that it can be used again.
        [[nodiscard]] bool isKept() const
        {
            return m_isKept && stream->isOpen() && !m_isEnding;
        }

        /// Whether it can be dropped without a loss for its caller.
        [[nodiscard]] bool canMakeRoom() const
        {
            return m_isEnding || (!m_isKept && !stream->hasUnreadBytes());
        }

        std::shared_ptr<byte_stream> stream;

    private:
        /// Returns whether the connection stays open.
        bool respond()
        {
            m_isKept = m_parser.keepsAlive() && (m_isKept || m_owner.keptConnections() < maxKeptConnections);
            stream->write(toText(m_owner.answer(m_parser.head().target), m_parser.head().method == "HEAD", m_isKept));
            m_parser.reset();
            if (!m_isKept) {
                end();
            }
            return m_isKept;
        }

        /// The stream lives on until what was written is sent.
        void end()
        {
            m_isEnding = true;
            stream->finish();
        }

        impl &m_owner;
        bool m_isKept = false;
        bool m_isEnding = false;
        message_parser m_parser;
    };

    impl(asio::io_context &owner, std::function<page(std::string_view)> handler)
        : context(owner)
        , acceptor(owner)
        , acceptRetryTimer(owner)
        , answer(std::move(handler))
    {
    }

    void accept()
    {
        acceptor.async_accept([weak = weak_from_this()](const std::error_code &error, asio::ip::tcp::socket socket) {
            const auto self = weak.lock();
            if (self == nullptr || error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            self->connections.remove_if([](const connection &one) {
                return !one.stream->isOpen();
            });
            if (self->connections.size() < maxConnections || self->makeRoom()) {
                self->connections.emplace_back(*self, std::make_shared<byte_stream>(self->context, std::move(socket)));
            }
            self->accept();
        });
    }

    void acceptLater()
    {
        acceptRetryTimer.expires_after(acceptRetryDelay);
        acceptRetryTimer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            if (const auto self = weak.lock(); self != nullptr && !error && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    bool makeRoom()
    {
        const auto found = std::find_if(connections.begin(), connections.end(), [](const connection &one) {
            return one.canMakeRoom();
        });
        if (found == connections.end()) {
            return false;
        }
        connections.erase(found);
        return true;
    }

    [[nodiscard]] std::ptrdiff_t keptConnections() const
    {
        return std::count_if(connections.begin(), connections.end(), [](const connection &one) {
            return one.isKept();
        });
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    std::function<page(std::string_view)> answer;
    std::list<connection> connections;
};

page_server::page_server(asio::io_context &context, std::function<page(std::string_view)> answer)
    : m_impl(std::make_shared<impl>(context, std::move(answer)))
{
}

page_server::~page_server()
{
    close();
}

bool page_server::listen(const asio::ip::tcp::endpoint &at, core::reason &why)
{
    if (!http1::listen(m_impl->acceptor, at, why)) {
        return false;
    }
    m_impl->accept();
    return true;
}

std::uint16_t page_server::port() const
{
    std::error_code ignored;
    return m_impl->acceptor.local_endpoint(ignored).port();
}

void page_server::close()
{
    std::error_code ignored;
    m_impl->acceptor.close(ignored);
}

} // namespace medlarrack::http1
