#pragma once

#include <medlarrack/resumption/origin_table.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::resumption {

/// An agent that remembers streams.
struct known_agent
{
    std::string id;
    /// Hash of its machine, which outlasts the engine beside it: the same at all gateways.
    std::uint64_t machineHash = 0;
    /// Whether messages can be sent to it now.
    bool connected = false;
};

/// What is known of a stream that a caller wants to resume.
struct origin_lookup
{
    enum class status {
        known,
        /// Agents are being asked.
        pending,
        /// Nobody who was asked in time knows it.
        unknown,
    };
    status state = status::unknown;
    stream_origin origin = unknownOrigin;
};

/// What a gateway knows of streams that callers may resume. Each stream that has begun is told to a few agents, chosen
/// by its key, which remember it for other gateways and outlast this one. A stream not known here is asked for at
/// the agents that would have been told. Not thread-safe.
class stream_directory
{
public:
    explicit stream_directory(const origin_limits &limits = {});

    /// The first event of a stream has been relayed, or an event of its resumption.
    void recordBegun(stream_key stream, stream_origin origin, core::monotonic_time now);
    /// Looks a stream up, and asks for it if it isn't known. To be called again while the result is pending.
    [[nodiscard]] origin_lookup lookUp(stream_key stream, core::monotonic_time now);

    /// Whether there is nothing to tell and nothing to ask.
    [[nodiscard]] bool isIdle() const;

    using told_streams = std::map<stream_origin, std::vector<stream_key>>;

    /// Takes what has to be told, by the agent's id.
    [[nodiscard]] std::map<std::string, told_streams> takeNews(std::span<const known_agent> agents);
    /// Takes the questions to send, by the agent's id. Agents that aren't connected yet are asked once they are. To be
    /// called once the agents of the deployment are known: without any, nobody can know the stream.
    [[nodiscard]] std::map<std::string, std::vector<stream_key>> takeQueries(std::span<const known_agent> agents,
                                                                             core::monotonic_time now);
    /// An agent has answered a question.
    void recordAnswer(std::string_view agent, stream_key stream, stream_origin origin, core::monotonic_time now);
    /// The connection to an agent is lost: it is asked again once it is connected.
    void recordAgentLost(std::string_view agent);

private:
    struct query
    {
        core::monotonic_time askedAt{};
        /// Agents that were asked and haven't answered.
        std::set<std::string, std::less<>> asked;
        /// Agents that don't know the stream.
        std::set<std::string, std::less<>> unaware;
        /// All agents that may know it have answered that they don't.
        bool exhausted = false;
        /// The result has been used.
        bool reported = false;
    };

    origin_table m_known;
    std::vector<std::pair<stream_key, stream_origin>> m_untold;
    std::map<stream_key, query> m_queries;
};

} // namespace medlarrack::resumption
