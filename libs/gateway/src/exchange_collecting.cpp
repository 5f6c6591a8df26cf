// How an exchange collects the body of a response that isn't relayed as it comes, within what the process may hold.

#include "exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Appends with less room to spare than a string that doubles, which has up to three times its bytes allocated while it
/// grows.
void appendTightly(std::string &to, std::string_view bytes)
{
    constexpr std::size_t spareDivisor = 4;
    const std::size_t needed = to.size() + bytes.size();
    if (needed > to.capacity()) {
        std::string grown;
        grown.reserve(to.empty() ? needed : needed + needed / spareDivisor);
        grown.append(to);
        to.swap(grown);
    }
    to.append(bytes);
}

} // namespace

bool exchange::announcesTooMuch(const http1::message_head &head) const
{
    // The parser has checked that it is a number.
    const std::string_view text = head.value("Content-Length");
    std::uint64_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length > kilobytes(m_services.responseBounds.maxBodyKb) && m_requestHead.method != "HEAD"
        && !m_responseMetadata.notRun && !isReplicaStream();
}

void exchange::collectBody(std::string_view bytes)
{
    appendTightly(m_responseBody, bytes);
    if (m_bodyHolding == nullptr) {
        m_bodyHolding = m_services.heldBytes.hold(m_replicaId, [this] {
            onRoomForBody();
        });
    }
    if (!m_bodyHolding->resize(m_responseBody.capacity()) && !std::exchange(m_awaitsRoom, true)) {
        m_connection->pause();
    }
}

void exchange::onRoomForBody()
{
    m_awaitsRoom = false;
    if (m_connection == nullptr) {
        // Lost while it was paused.
        return;
    }
    // The replica wasn't silent meanwhile.
    m_lastProgressAt = m_services.clock.now();
    m_connection->resume();
}

void exchange::holdErrorResponse()
{
    if (m_bodyHolding != nullptr && !m_bodyHolding->settle()) {
        return;
    }
    m_heldErrorResponse.emplace(std::move(m_responseHead), std::move(m_responseBody));
    m_heldErrorHolding = std::move(m_bodyHolding);
}

void exchange::dropBody()
{
    // Clearing a string keeps its memory.
    std::exchange(m_responseBody, {});
    m_bodyHolding.reset();
    m_awaitsRoom = false;
}

} // namespace medlarrack::gateway
