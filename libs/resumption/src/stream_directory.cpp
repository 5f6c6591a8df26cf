#include <medlarrack/core/hash.hpp>
#include <medlarrack/resumption/stream_directory.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::resumption {

namespace {

/// Agents that are told of a stream: one is left to answer if two are lost.
constexpr std::size_t toldAgents = 3;
/// Agents that are asked. More than are told, as agents may have come and gone since.
constexpr std::size_t askedAgents = 6;
/// How long agents are waited for; a gateway that starts is connected to them within it.
constexpr std::chrono::milliseconds queryTimeout{1'000};
/// How long a question is remembered after it was asked.
constexpr std::chrono::seconds queryLifetime{5};
/// Limits of streams waiting to be told, which is while no agent is connected, and to be asked for.
constexpr std::size_t maxUntold = 8'192;
constexpr std::size_t maxQueries = 4'096;

/// The agents that are first choices for a stream, the best one first.
std::vector<const known_agent *> firstChoices(stream_key stream, std::span<const known_agent> agents, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const known_agent *>> ranked;
    ranked.reserve(agents.size());
    for (const known_agent &agent : agents) {
        ranked.emplace_back(core::rendezvousWeight(stream, agent.machineHash), &agent);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->id < right.second->id;
    });
    std::vector<const known_agent *> chosen;
    std::transform(ranked.begin(), end, std::back_inserter(chosen), [](const auto &entry) {
        return entry.second;
    });
    return chosen;
}

} // namespace

stream_directory::stream_directory(const origin_limits &limits)
    : m_known(limits)
{
}

void stream_directory::recordBegun(stream_key stream, stream_origin origin, core::monotonic_time now)
{
    m_known.add(stream, origin, now);
    if (m_untold.size() < maxUntold) {
        m_untold.emplace_back(stream, origin);
    }
}

origin_lookup stream_directory::lookUp(stream_key stream, core::monotonic_time now)
{
    if (const auto origin = m_known.find(stream, now)) {
        return {origin_lookup::status::known, *origin};
    }
    const auto found = m_queries.find(stream);
    if (found == m_queries.end() && m_queries.size() >= maxQueries) {
        return {};
    }
    // Whoever comes back after a refusal asks anew: agents may have been connected or told since.
    if (found == m_queries.end() || found->second.reported || now - found->second.askedAt >= 2 * queryTimeout) {
        m_queries[stream] = {.askedAt = now};
        return {.state = origin_lookup::status::pending};
    }
    query &asked = found->second;
    asked.reported = asked.exhausted || now - asked.askedAt >= queryTimeout;
    return {.state = asked.reported ? origin_lookup::status::unknown : origin_lookup::status::pending};
}

bool stream_directory::isIdle() const
{
    return m_untold.empty() && m_queries.empty();
}

std::map<std::string, stream_directory::told_streams> stream_directory::takeNews(std::span<const known_agent> agents)
{
    std::vector<known_agent> connected;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(connected), [](const known_agent &agent) {
        return agent.connected;
    });
    std::map<std::string, told_streams> news;
    if (connected.empty()) {
        return news;
    }
    for (const auto &[stream, origin] : std::exchange(m_untold, {})) {
        for (const known_agent *agent : firstChoices(stream, connected, toldAgents)) {
            news[agent->id][origin].push_back(stream);
        }
    }
    return news;
}

std::map<std::string, std::vector<stream_key>> stream_directory::takeQueries(std::span<const known_agent> agents,
                                                                             core::monotonic_time now)
{
    std::erase_if(m_queries, [now](const auto &entry) {
        return now - entry.second.askedAt >= queryLifetime;
    });
    std::map<std::string, std::vector<stream_key>> queries;
    for (auto &[stream, asked] : m_queries) {
        if (asked.exhausted || now - asked.askedAt >= queryTimeout || m_known.find(stream, now)) {
            continue;
        }
        bool isComplete = true;
        for (const known_agent *agent : firstChoices(stream, agents, askedAgents)) {
            if (asked.unaware.contains(agent->id)) {
                continue;
            }
            isComplete = false;
            if (agent->connected && asked.asked.insert(agent->id).second) {
                queries[agent->id].push_back(stream);
            }
        }
        asked.exhausted = isComplete;
    }
    return queries;
}

void stream_directory::recordAnswer(std::string_view agent, stream_key stream, stream_origin origin,
                                    core::monotonic_time now)
{
    const auto found = m_queries.find(stream);
    if (found == m_queries.end()) {
        return;
    }
    // An uncertain origin isn't remembered: agents may be told soon where the stream has begun.
    if (origin != unknownOrigin && origin != uncertainOrigin) {
        m_known.add(stream, origin, now);
        m_queries.erase(found);
        return;
    }
    found->second.asked.erase(std::string(agent));
    found->second.unaware.emplace(agent);
}

void stream_directory::recordAgentLost(std::string_view agent)
{
    for (auto &[stream, asked] : m_queries) {
        if (const auto found = asked.asked.find(agent); found != asked.asked.end()) {
            asked.asked.erase(found);
        }
    }
}

} // namespace medlarrack::resumption
