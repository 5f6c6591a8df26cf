#pragma once

#include "queued_output.hpp"

#include <medlarrack/http1/message_parser.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <array>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace medlarrack::http1::testing {

/// What a scripted server does after a request.
struct scripted_answer
{
    /// Sent as it is.
    std::string bytes;
    enum class ending {
        keep,
        close,
        reset,
        /// Ends the server's side only; it reads on.
        end_side,
    } then = ending::keep;
    /// Answers once the head has come, without the body.
    bool early = false;
    /// Sent after `bytes`, over and over until the other side closes.
    std::string endless;
};

inline std::ostream &operator<<(std::ostream &out, scripted_answer::ending then)
{
    static constexpr std::array<const char *, 4> names{"keep", "close", "reset", "end_side"};
    return out << names.at(static_cast<std::size_t>(then));
}

/// A server on loopback that answers each request by a function, with any bytes.
class scripted_server
{
public:
    struct seen_request
    {
        message_head head;
        std::string body;
        std::size_t connection = 0;
    };

    scripted_server(asio::io_context &context, std::function<scripted_answer(const seen_request &)> script)
        : m_script(std::move(script))
        , m_acceptor(context, asio::ip::tcp::v4())
        , m_portHolder(context)
    {
        m_acceptor.set_option(shared_port(true));
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen();
        m_endpoint = m_acceptor.local_endpoint();
        accept();
    }

    [[nodiscard]] asio::ip::tcp::endpoint endpoint() const
    {
        return m_endpoint;
    }

    /// Refuses connections from now on. The port stays taken, so that no server of another test answers there.
    void stop()
    {
        m_portHolder.open(asio::ip::tcp::v4());
        m_portHolder.set_option(shared_port(true));
        m_portHolder.bind(m_endpoint);
        m_acceptor.close();
        for (const auto &one : m_connections) {
            std::error_code ignored;
            one->socket->close(ignored);
        }
    }

    /// Sends bytes that nobody asked for on the newest connection.
    void sendUnasked(std::string_view bytes)
    {
        m_connections.back()->output.send(bytes);
    }

    /// Sends bytes on a connection, as numbered in seen_request, unless the other side has closed it.
    void sendOn(std::size_t number, std::string_view bytes)
    {
        m_connections.at(number - 1)->output.send(bytes);
    }

    void closeOn(std::size_t number)
    {
        closeAfterOutput(m_connections.at(number - 1), false);
    }

    void closeNewest(bool reset)
    {
        closeAfterOutput(m_connections.back(), reset);
    }

    std::vector<seen_request> requests;
    std::size_t connections = 0;
    /// Connections that the other side has closed.
    std::size_t closedByPeer = 0;

private:
    struct connection
    {
        explicit connection(asio::ip::tcp::socket taken)
            : socket(std::make_shared<asio::ip::tcp::socket>(std::move(taken)))
            , output(socket)
        {
        }

        queued_output::socket_ptr socket;
        queued_output output;
        message_parser parser{message_kind::request, 65'536};
        std::array<char, 16'384> buffer{};
        std::size_t number = 0;
        bool answered = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            // What is sent unasked would otherwise wait for the acknowledgement of the last answer.
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            auto made = std::make_shared<connection>(std::move(socket));
            made->number = ++connections;
            m_connections.push_back(made);
            read(made);
            accept();
        });
    }

    void read(const std::shared_ptr<connection> &from)
    {
        from->socket->async_read_some(asio::buffer(from->buffer),
                                      [this, from](const std::error_code &error, std::size_t size) {
                                          if (error) {
                                              closedByPeer += error == asio::error::operation_aborted ? 0 : 1;
                                              return;
                                          }
                                          take(from, {from->buffer.data(), size});
                                          if (from->socket->is_open()) {
                                              read(from);
                                          }
                                      });
    }

    void take(const std::shared_ptr<connection> &from, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const std::size_t consumed = from->parser.feed(bytes);
            bytes.remove_prefix(consumed);
            const bool complete = from->parser.state() == parse_state::complete;
            if (!from->answered && (complete || from->parser.state() == parse_state::body)) {
                seen_request seen{from->parser.head(), from->parser.body(), from->number};
                const scripted_answer answer = m_script(seen);
                if (complete || answer.early) {
                    from->answered = true;
                    requests.push_back(std::move(seen));
                    give(from, answer);
                }
            }
            if (complete) {
                from->parser.reset();
                from->answered = false;
            }
            if (consumed == 0) {
                return;
            }
        }
    }

    static void give(const std::shared_ptr<connection> &to, const scripted_answer &answer)
    {
        to->output.send(answer.bytes);
        if (!answer.endless.empty()) {
            constexpr std::size_t blockBytes = 16'384;
            auto block = std::make_shared<std::string>();
            while (block->size() < blockBytes) {
                *block += answer.endless;
            }
            repeat(to, block);
            return;
        }
        if (answer.then != scripted_answer::ending::keep) {
            if (answer.then == scripted_answer::ending::end_side) {
                to->output.then([socket = to->socket](bool) {
                    std::error_code ignored;
                    socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                });
                return;
            }
            closeAfterOutput(to, answer.then == scripted_answer::ending::reset);
        }
    }

    static void repeat(const std::shared_ptr<connection> &to, const std::shared_ptr<std::string> &block)
    {
        to->output.send(*block);
        to->output.then([block, weak = std::weak_ptr(to)](bool sent) {
            const auto self = weak.lock();
            if (!sent || !self) {
                return;
            }
            // Through the loop, so that the other side's reads get their turn.
            asio::post(self->socket->get_executor(), [block, weak] {
                if (const auto stillThere = weak.lock()) {
                    repeat(stillThere, block);
                }
            });
        });
    }

    /// Closes a connection once all that was sent on it has left.
    static void closeAfterOutput(const std::shared_ptr<connection> &one, bool reset)
    {
        one->output.then([socket = one->socket, reset](bool) {
            close(*socket, reset);
        });
    }

    static void close(asio::ip::tcp::socket &socket, bool reset)
    {
        std::error_code ignored;
        if (reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        } else {
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
        socket.close(ignored);
    }

    using shared_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    std::function<scripted_answer(const seen_request &)> m_script;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_portHolder;
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::shared_ptr<connection>> m_connections;
};

/// Runs the context until a condition holds. The bound only ends a test that fails.
inline bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    constexpr auto giveUp = std::chrono::seconds(20);
    const auto end = std::chrono::steady_clock::now() + giveUp;
    context.restart();
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
}

} // namespace medlarrack::http1::testing
