#include "connection_table.hpp"

#include "connection_link.hpp"

#include <set>
#include <string>

namespace medlarrack::http::detail {

namespace {

/// A caller sends its head within this time of connecting, on the longest link; others may be closed for want of room.
constexpr std::chrono::milliseconds headGrace{250};
/// Bodies that stand still for this long, and responses of which nothing is taken, are the first to go when memory is
/// used up. Callers on slow links pause for less.
constexpr std::chrono::milliseconds standstillTime{500};
/// Bodies wait this long for room. Callers abandon requests that take longer than a few seconds.
constexpr std::chrono::milliseconds longestRoomWait{2'000};
/// Connections beyond the limit that may be about to close, as a part of the limit.
constexpr std::size_t closingDivisor = 16;
constexpr int statusUnavailable = 503;

/// The connection with the most bytes among those that hold them for too long.
struct holder_choice
{
    std::shared_ptr<connection_link> link;
    std::size_t bytes = 0;

    void consider(const std::shared_ptr<connection_link> &candidate, std::size_t held)
    {
        if (held > bytes) {
            link = candidate;
            bytes = held;
        }
    }
};

bool hasLasted(const std::optional<std::chrono::nanoseconds> &time, std::chrono::milliseconds bound)
{
    return time && *time >= bound;
}

} // namespace

connection_table::connection_table(std::size_t maxConnections, std::shared_ptr<core::byte_budget> budget)
    : m_maxConnections(maxConnections)
    , m_budget(std::move(budget))
{
}

bool connection_table::add(connection_id id, const std::shared_ptr<connection_link> &link)
{
    std::shared_ptr<connection_link> ended;
    bool isAdded = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return false;
        }
        if (m_links.size() >= m_maxConnections) {
            ended = findIdle();
        }
        isAdded = m_links.size() < m_maxConnections || ended;
        if (isAdded) {
            if (m_budget) {
                link->countIn(m_budget);
            }
            m_links.emplace(id, link);
        }
    }
    if (ended) {
        ended->breakOff();
        recordNoRoom("no whole head was sent, and all connections are in use", *ended);
    } else if (!isAdded) {
        recordNoRoom("all connections are in use", *link);
    }
    return isAdded;
}

std::shared_ptr<connection_link> connection_table::findIdle() const
{
    if (m_links.size() > m_maxConnections + m_maxConnections / closingDivisor) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    std::shared_ptr<connection_link> oldest;
    std::chrono::nanoseconds longest = headGrace;
    for (const auto &[id, link] : m_links) {
        const auto time = link->timeWithoutHead(now);
        if (time && *time >= longest && !link->isBrokenOff()) {
            longest = *time;
            oldest = link;
        }
    }
    return oldest;
}

void connection_table::recordNoRoom(std::string_view why, const connection_link &link) const
{
    if (m_budget) {
        m_budget->recordTurnedAway({"no_connection", why, link.address()});
    }
}

void connection_table::relieveMemory(std::chrono::steady_clock::time_point now)
{
    if (!m_budget) {
        return;
    }
    const bool isFull = m_budget->isFull();
    holder_choice still;
    holder_choice waiting;
    holder_choice untaken;
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> waitingAddresses;
        for (const auto &[id, link] : m_links) {
            if (link->load(now).roomWait) {
                waitingAddresses.insert(link->address());
            }
        }
        if (!isFull && waitingAddresses.empty()) {
            return;
        }
        for (const auto &[id, link] : m_links) {
            const connection_load load = link->load(now);
            if (hasLasted(load.bodyStandstill, standstillTime)
                && (isFull || waitingAddresses.contains(link->address()))) {
                still.consider(link, load.bodyBytes);
            }
            if (hasLasted(load.roomWait, longestRoomWait)) {
                waiting.consider(link, load.bodyBytes);
            }
            if (isFull && hasLasted(load.takingStandstill, standstillTime)) {
                untaken.consider(link, load.untakenBytes);
            }
        }
    }
    if (still.link) {
        m_budget->recordTurnedAway(
            {"no_memory", "its body stood still while memory was used up", still.link->address(), still.bytes});
        still.link->refuse(statusUnavailable);
    } else if (waiting.link) {
        m_budget->recordTurnedAway(
            {"no_memory", "there was no room for its body in time", waiting.link->address(), waiting.bytes});
        waiting.link->refuse(statusUnavailable);
    }
    if (untaken.link) {
        m_budget->recordTurnedAway({"no_memory", "it took none of its response while memory was used up",
                                    untaken.link->address(), untaken.bytes});
        untaken.link->breakOff();
    }
}

void connection_table::remove(connection_id id)
{
    const std::lock_guard lock(m_mutex);
    m_links.erase(id);
}

std::shared_ptr<connection_link> connection_table::find(connection_id id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second;
}

void connection_table::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    for (const auto &[id, link] : m_links) {
        link->breakOff();
        // Reported now: the io_context may be stopped before the connection's strand notices, and a callback that owns
        // its responder would then never be destroyed.
        link->markClosed();
    }
}

bool connection_table::stopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopped;
}

void connection_table::closeAfterResponses()
{
    m_closesAfterResponses = true;
}

bool connection_table::closesAfterResponses() const
{
    return m_closesAfterResponses;
}

} // namespace medlarrack::http::detail
