#pragma once

#include <medlarrack/gateway/caller_format.hpp>
#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/message_parser.hpp>
#include <medlarrack/metrics/registry.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Logs and counts whole requests that reach a caller's connection after its end was decided, so that none is answered.
class late_request_recorder final : public http1::late_bytes_observer
{
public:
    /// The observer may outlive the server of its connection, which `server` tells. `parses`: what comes begins with a
    /// request rather than with the rest of one that was refused; only its size is recorded otherwise.
    late_request_recorder(std::weak_ptr<void> server, metrics::registry &metrics, const caller_format &format,
                          std::string_view end, std::size_t maxHeadBytes, bool parses);

    void onDropped(std::string_view bytes) override;
    void onClosed(std::string_view unread) override;

private:
    void parse(std::string_view bytes, bool wereRead);
    void record();

    std::weak_ptr<void> m_server;
    metrics::registry &m_metrics;
    const caller_format &m_format;
    std::string m_end;
    http1::message_parser m_parser;
    bool m_parses;
    /// Part of the request that is being parsed was read.
    bool m_hasReadPart = false;
    std::size_t m_requests = 0;
    std::size_t m_droppedBytes = 0;
};

} // namespace medlarrack::gateway
