#pragma once

#include "caller_channel.hpp"
#include "exchange.hpp"
#include "exchange_services.hpp"

#include <medlarrack/catalog/published_state.hpp>
#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/message_parser.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// A caller's connection: reads one request after the other and writes their answers in order.
class caller_connection final : public std::enable_shared_from_this<caller_connection>,
                                private http1::byte_stream_listener,
                                private caller_channel
{
public:
    caller_connection(exchange_services &services, std::shared_ptr<http1::byte_stream> stream);
    ~caller_connection() override;

    void start();
    /// Checks time-outs and the exchange's deadlines.
    void tick(core::monotonic_time now);
    /// The process stops: the answer that is due is the last one.
    void drain();
    /// Closes unless a request has been begun or read.
    void closeIfIdle();
    [[nodiscard]] bool isClosed() const;
    [[nodiscard]] bool isIdle() const;

private:
    void onBytes(std::string_view bytes) override;
    void onWritten() override;
    void onPeerEnd() override;
    void onLost(std::string_view why) override;

    void write(std::string_view bytes) override;
    [[nodiscard]] std::size_t queued() const override;
    [[nodiscard]] bool closesAfterAnswer() const override;
    [[nodiscard]] bool takesChunks() const override;
    void answered() override;
    void brokeOff() override;

    void parse();
    void begin();
    void continueIfExpected();
    void reject(int status, std::string_view code, std::string_view why);
    void close();

    exchange_services &m_services;
    std::shared_ptr<http1::byte_stream> m_stream;
    http1::message_parser m_parser;
    std::shared_ptr<exchange> m_exchange;
    /// Bytes behind the request that is being answered.
    std::string m_input;
    core::monotonic_time m_lastActivity{};
    core::monotonic_time m_requestStarted{};
    bool m_keepAlive = true;
    bool m_chunks = true;
    bool m_draining = false;
    bool m_closed = false;
    bool m_parsing = false;
    bool m_expectAnswered = false;
};

} // namespace medlarrack::gateway
