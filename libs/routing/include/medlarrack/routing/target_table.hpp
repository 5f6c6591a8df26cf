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

/// Settings of target_table.
struct target_settings
{
    /// The data centre of this process.
    std::string dataCentre;
    /// Backoff after the first failure; doubles with each consecutive failure.
    std::chrono::milliseconds failureBackoff{250};
    std::chrono::milliseconds maxFailureBackoff{10'000};
    /// Duration of the slow start of a new or recovered target.
    std::chrono::milliseconds slowStart{10'000};
    /// Batch size assumed for targets that haven't reported one.
    std::uint32_t defaultBatchSize = 16;
};

/// How an attempt at a target ended, for the purpose of failure detection.
enum class attempt_result {
    /// The target responded; refusals count.
    answered,
    /// The target was unreachable, broke the connection or timed out.
    failed,
    /// Cancelled by this process; no evidence about the target.
    cancelled,
};

/// The targets of one group and their state. The list of candidates (targets that are listed and not leaving) and their
/// total load are maintained incrementally, so that a decision needs no scan. Not thread-safe.
class target_table
{
public:
    explicit target_table(target_settings settings);

    /// Targets added and removed by an update of the instance list.
    struct changes
    {
        std::vector<target_index> added;
        std::vector<target_index> removed;
    };

    /// Applies a new instance list. The list is authoritative: a target marked as leaving that the list shows as not
    /// leaving becomes a candidate again.
    changes update(std::span<const instances::instance> listed, core::monotonic_time now);
    /// Removes a target from the candidates because it accepts no new requests. Returns false if it was already marked.
    bool markLeaving(target_index index);
    /// Applies a report. Returns false if it is stale: not newer than the last one by incarnation and sequence.
    bool applyReport(target_index index, target_report report, core::monotonic_time now);
    /// Discards the report of a target whose stream of reports has ended.
    void clearReport(target_index index);

    void onAttemptSent(target_index index, bool suspect);
    void onAttemptEnded(target_index index, bool suspect, attempt_result result, core::monotonic_time now);

    [[nodiscard]] const target &at(target_index index) const;
    [[nodiscard]] std::optional<target_index> find(std::string_view id) const;
    /// Exclusive upper bound of the indices in use. Some indices below it may be free.
    [[nodiscard]] std::size_t indexCount() const;
    /// Targets that are listed and not leaving, in no particular order.
    [[nodiscard]] std::span<const target_index> candidates() const;
    [[nodiscard]] bool isCandidate(target_index index) const;
    /// Whether the target is a candidate and not in failure backoff. After the backoff, one attempt at a time is
    /// allowed until one is answered.
    [[nodiscard]] bool isUsable(target_index index, core::monotonic_time now) const;
    /// Mean load of the candidates; 0 without candidates.
    [[nodiscard]] double meanLoad() const;
    /// Factor for the load bound of a target: during slow start the elapsed fraction of it, but at least 0.1;
    /// otherwise 1.
    [[nodiscard]] double slowStartFactor(target_index index, core::monotonic_time now) const;
    /// The reported batch size, or defaultBatchSize without one.
    [[nodiscard]] std::uint32_t batchSize(target_index index) const;

private:
    static constexpr std::uint32_t noPosition = ~std::uint32_t{0};

    target_index add(const instances::instance &listed, core::monotonic_time now);
    void unlist(target_index index);
    void restore(target_index index, core::monotonic_time now);
    void addCandidate(target_index index);
    void removeCandidate(target_index index);
    void freeIfUnused(target_index index);
    /// Modifies a target and updates the total load.
    template<typename Modification>
    void modify(target_index index, Modification apply);

    target_settings m_settings;
    std::vector<target> m_targets;
    /// Position of each target in m_candidates, or noPosition.
    std::vector<std::uint32_t> m_candidatePositions;
    std::vector<target_index> m_candidates;
    std::vector<target_index> m_freeIndices;
    std::map<std::string, target_index, std::less<>> m_byId;
    std::uint64_t m_totalLoad = 0;
    bool m_hasInstanceList = false;
};

} // namespace medlarrack::routing
