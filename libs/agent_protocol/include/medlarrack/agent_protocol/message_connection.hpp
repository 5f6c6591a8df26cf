#pragma once

#include <medlarrack/agent_protocol/message_codec.hpp>
#include <medlarrack/agent_protocol/message_traffic.hpp>
#include <medlarrack/http1/byte_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::agent_protocol {

/// One end of a connection between a gateway and an agent. After onLost has been called, the owner destroys it. onLost
/// is never called from within send().
class message_connection : private http1::byte_stream_listener
{
public:
    /// Counts what it sends in `sent`, which must outlive it.
    message_connection(std::shared_ptr<http1::byte_stream> stream, message_traffic &sent,
                       std::function<void(const message &)> onMessage,
                       std::function<void(std::string_view why)> onLost);
    ~message_connection() override;

    void connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit);
    void start();
    /// Sends a message. Gives the connection up if the peer doesn't read, so that unsent messages don't pile up in
    /// memory; what is sent until onLost is called is dropped.
    void send(const message &value);
    /// Sends an encoded message of a type; avoids encoding one again for each of several connections.
    void sendEncoded(std::size_t type, std::string_view bytes);
    /// Sends messages one after another until `next` returns none, each once what was sent before has been handed to
    /// the system. Replaces the messages of an earlier call.
    void sendPaced(std::function<std::optional<message>()> next);
    /// Bytes of messages that the system hasn't taken yet.
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    void sendNext();
    void fail(std::string why);
    void onBytes(std::string_view bytes) override;
    void onWritten() override;
    void onPeerEnd() override;
    void onLost(std::string_view why) override;

    std::shared_ptr<http1::byte_stream> m_stream;
    message_traffic &m_sent;
    message_decoder m_decoder;
    std::function<std::optional<message>()> m_next;
    /// onLost is about to be called.
    bool m_failed = false;
    std::function<void(const message &)> m_onMessage;
    std::function<void(std::string_view)> m_onLost;
};

} // namespace medlarrack::agent_protocol
