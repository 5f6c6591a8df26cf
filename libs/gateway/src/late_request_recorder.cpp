#include "late_request_recorder.hpp"

#include <medlarrack/log/log.hpp>

#include <cstdint>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// A caller that floods a connection behind its end must not fill the log.
constexpr std::size_t maxLoggedRequests = 8;

} // namespace

late_request_recorder::late_request_recorder(std::weak_ptr<void> server, metrics::registry &metrics,
                                             const caller_format &format, std::string_view end,
                                             std::size_t maxHeadBytes, bool parses)
    : m_server(std::move(server))
    , m_metrics(metrics)
    , m_format(format)
    , m_end(end)
    , m_parser(http1::message_kind::request, maxHeadBytes)
    , m_parses(parses)
{
}

void late_request_recorder::onDropped(std::string_view bytes)
{
    m_droppedBytes += bytes.size();
    parse(bytes, true);
}

void late_request_recorder::onClosed(std::string_view unread)
{
    parse(unread, false);
    if (!m_server.expired() && m_droppedBytes + unread.size() > 0) {
        log::write(log::level::info, "bytes came after the end of a connection",
                   {{"end", m_end},
                    {"requests", static_cast<std::uint64_t>(m_requests)},
                    {"dropped", static_cast<std::uint64_t>(m_droppedBytes)},
                    {"unread", static_cast<std::uint64_t>(unread.size())}});
    }
}

void late_request_recorder::parse(std::string_view bytes, bool wereRead)
{
    while (m_parses && !bytes.empty() && !m_server.expired()) {
        const std::size_t consumed = m_parser.feed(bytes);
        bytes.remove_prefix(consumed);
        // Nobody reads it, and it may be long.
        m_parser.body().clear();
        m_hasReadPart = m_hasReadPart || wereRead;
        if (m_parser.state() == http1::parse_state::complete) {
            record();
            m_parser.reset();
            m_hasReadPart = false;
        } else if (consumed == 0) {
            return;
        }
    }
}

void late_request_recorder::record()
{
    const std::string_view fate = m_hasReadPart ? "dropped" : "unread";
    if (++m_requests <= maxLoggedRequests) {
        log::write(log::level::info, "request came after the end of its connection",
                   {{"request_id", m_format.readRequest(m_parser.head()).id}, {"end", m_end}, {"fate", fate}});
    }
    m_metrics.count("medlarrack_gateway_late_requests_total",
                    "Whole requests that came after the end of their connection was decided",
                    {.code = std::string(fate)});
}

} // namespace medlarrack::gateway
