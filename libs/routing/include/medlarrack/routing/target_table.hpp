#pragma once

#include <medlarrack/routing/routing_request.hpp>
#include <medlarrack/routing/target.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::routing {

/// How failures and new targets are treated.
struct target_settings
{
    /// This process's data centre.
    std::string dataCentre;
    /// Time without new work after the first failure; doubles with each further one.
    std::chrono::milliseconds failureBackoff{250};
    std::chrono::milliseconds maxFailureBackoff{10'000};
    /// Time in which a new or recovered target's share of work rises to a full one.
    std::chrono::milliseconds slowStart{10'000};
    /// Batch size of targets that haven't reported one.
    std::uint32_t defaultBatchSize = 16;
};

/// How an attempt at a target ended, as far as it says something about the target.
enum class attempt_result {
    /// The target answered, if only by a refusal.
    answered,
    /// Not reached, broken off or silent.
    failed,
    /// Says nothing: cancelled by this side.
    cancelled,
};

/// The targets of one group and what is known of each. Candidates (listed and not leaving) are kept as a list of their
/// own, and sums are kept up to date, so that a decision needs no scan. Not thread-safe.
class target_table
{
public:
    explicit target_table(target_settings settings);

    /// What an update of the instance list changed.
    struct changes
    {
        std::vector<target_index> added;
        std::vector<target_index> removed;
    };

    /// Takes the group's instances from a new instance list, which is believed also where it takes back a leaving.
    changes update(std::span<const instances::instance> listed, core::monotonic_time now);
    /// The target won't take new work any more. False when that was known or the target isn't.
    bool markLeaving(target_index index);
    /// Takes a report. False when it is older than the one known.
    bool applyReport(target_index index, target_report report, core::monotonic_time now);
    /// Forgets the report, since no further ones arrive.
    void clearReport(target_index index);

    void onAttemptSent(target_index index, bool suspect);
    void onAttemptEnded(target_index index, bool suspect, attempt_result result, core::monotonic_time now);

    [[nodiscard]] const target &at(target_index index) const;
    [[nodiscard]] std::optional<target_index> find(std::string_view id) const;
    /// Number of places; indices are below it. Some places may be free.
    [[nodiscard]] std::size_t indexCount() const;
    /// Listed targets that aren't leaving, in no particular order.
    [[nodiscard]] std::span<const target_index> candidates() const;
    [[nodiscard]] bool isCandidate(target_index index) const;
    /// Whether it may be given work now: a candidate that hasn't failed lately. After a failure's backoff one attempt
    /// at a time is let through until one is answered.
    [[nodiscard]] bool isUsable(target_index index, core::monotonic_time now) const;
    /// Mean load of the candidates.
    [[nodiscard]] double meanLoad() const;
    /// Share of full work that a target may get: rises from a tenth to 1 during its slow start.
    [[nodiscard]] double slowStartFactor(target_index index, core::monotonic_time now) const;
    /// Batch size of a target, reported or assumed.
    [[nodiscard]] std::uint32_t batchSize(target_index index) const;

private:
    static constexpr std::uint32_t noPosition = ~std::uint32_t{0};

    target_index add(const instances::instance &listed, core::monotonic_time now);
    void unlist(target_index index);
    void comeBack(target_index index, core::monotonic_time now);
    void addCandidate(target_index index);
    void removeCandidate(target_index index);
    void freeIfUnused(target_index index);
    /// Changes a target and keeps the sum of loads up to date.
    template<typename Change>
    void change(target_index index, Change apply);

    target_settings m_settings;
    std::vector<target> m_targets;
    /// Position of each target in the list of candidates.
    std::vector<std::uint32_t> m_positions;
    std::vector<target_index> m_candidates;
    std::vector<target_index> m_free;
    std::map<std::string, target_index, std::less<>> m_byId;
    std::uint64_t m_totalLoad = 0;
    bool m_updated = false;
};

} // namespace medlarrack::routing
