#pragma once

#include <medlarrack/suspects/crash_detector.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace medlarrack::suspects::testing {

using std::chrono::milliseconds;

struct simulation_options
{
    std::uint64_t seed = 1;
    std::size_t processes = 6;
    std::size_t targets = 18;
    double requestsPerSecond = 250;
    /// Share of the requests that have a crashing part.
    double crashingShare = 0.1;
    /// Shared parts before the crashing one: 0 to 2.
    std::size_t position = 1;
    /// Crashing parts; a request has one of them, or all.
    std::size_t crashingParts = 1;
    bool allInOneRequest = false;
    /// Second part of all requests with a crashing part; drawn like that of others if not set.
    std::optional<std::size_t> secondPart;
    /// Requests with a crashing part begin and end.
    milliseconds from{2'000};
    milliseconds until{20'000};
    /// Time within which processes hear of each other, by the users' rules.
    milliseconds contactTime{3'000};
    /// Sound requests all have the same content.
    bool sameSoundContent = false;
    /// News of parts is not recorded: the weakened form that checks must catch.
    bool ignoresParts = false;
};

/// Processes that send requests to targets, each with a crash_detector of its own, and agents that pass on their news.
/// Targets crash when they begin to write an answer on a crashing part, and are back some seconds later as another
/// incarnation. Requests are all different; sound ones have the first part, and one of many second parts, in common
/// with those that crash targets. Advances in fixed steps; all randomness comes from the seed.
class crashing_parts_simulation
{
public:
    explicit crashing_parts_simulation(const simulation_options &options);

    /// Runs until a time since the start.
    void runUntil(milliseconds time);

    /// Crashes a target for another reason.
    void crashTarget(std::size_t index);
    /// Replaces a process by one that knows only what agents tell it.
    void restartProcess(std::size_t index);
    /// Replaces the agents' memory by one that knows only what processes tell it.
    void restartAgents();
    /// Processes from `first` on hear nothing of the others and aren't heard until the cut ends.
    void cut(std::optional<std::size_t> first);

    struct part_outcome
    {
        std::size_t crashes = 0;
        std::optional<milliseconds> fifthCrash;
        std::optional<milliseconds> lastCrash;
        /// Requests with the part that reached a target, sent later than the contact time after its fifth crash.
        std::size_t reachedLate = 0;
    };
    [[nodiscard]] const part_outcome &outcomeOf(std::size_t crashingPart) const;
    /// Largest of the parts' reachedLate.
    [[nodiscard]] std::size_t maxReachedLate() const;

    /// Share of the sound requests first sent in a time whose answer began at their first attempt.
    [[nodiscard]] double servedShare(milliseconds from, milliseconds until) const;
    /// Number of second parts for which any process refuses sound requests.
    [[nodiscard]] std::size_t refusedSoundParts() const;
    static constexpr std::size_t secondParts = 40;

private:
    struct run;
    struct request;
    struct target;

    void step();
    void arrive(bool crashing);
    void trySend(const std::shared_ptr<request> &sent);
    void begin(const std::shared_ptr<run> &running);
    void crash(target &crashed);
    void exchangeNews();
    void deliver(std::size_t from, const core::crash_news &news);
    [[nodiscard]] bool separated(std::size_t left, std::size_t right) const;
    void after(milliseconds time, std::function<void()> work);
    [[nodiscard]] double draw();
    [[nodiscard]] milliseconds sinceStart() const;
    std::unique_ptr<crash_detector> makeDetector(std::size_t index) const;

    simulation_options m_options;
    std::mt19937_64 m_random;
    core::monotonic_time m_now;
    std::vector<std::unique_ptr<crash_detector>> m_processes;
    suspect_table m_agents{sharedLimits};
    std::vector<std::shared_ptr<target>> m_targets;
    std::multimap<core::monotonic_time, std::function<void()>> m_events;
    std::optional<std::size_t> m_cutFrom;
    double m_due = 0;
    double m_crashingDue = 0;
    std::uint64_t m_requests = 0;
    std::vector<part_outcome> m_outcomes;
    struct sound_outcome
    {
        milliseconds sentAt{0};
        bool begunAtFirstAttempt = false;
    };
    std::vector<sound_outcome> m_sound;
};

} // namespace medlarrack::suspects::testing
