#pragma once

#include <medlarrack/agent_protocol/message_codec.hpp>
#include <medlarrack/http1/byte_stream.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace medlarrack::agent_protocol {

/// One end of a link. Closed by its owner after onLost.
class message_connection : private http1::byte_stream_listener
{
public:
    message_connection(std::shared_ptr<http1::byte_stream> stream, std::function<void(const message &)> onMessage,
                       std::function<void(std::string_view why)> onLost);
    ~message_connection() override;

    void connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit);
    void start();
    /// Sends a message; a peer that doesn't read loses the link rather than our memory.
    void send(const message &value);
    /// The same with a message encoded before, for several links.
    void sendEncoded(std::string_view bytes);

private:
    void onBytes(std::string_view bytes) override;
    void onPeerEnd() override;
    void onLost(std::string_view why) override;

    std::shared_ptr<http1::byte_stream> m_stream;
    message_decoder m_decoder;
    std::function<void(const message &)> m_onMessage;
    std::function<void(std::string_view)> m_onLost;
};

} // namespace medlarrack::agent_protocol
