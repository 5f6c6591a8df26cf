#pragma once

#include <medlarrack/routing/routing_policy.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace medlarrack::routing {

/// Settings of bounded_load_policy.
struct bounded_load_settings
{
    /// Load bound of a target as a multiple of the mean load. The bound is never below the target's batch size.
    double boundFactor = 1.25;
    /// Fraction of a target's batch that one copy of an adapter may fill before another copy is wanted.
    double copyFill = 0.5;
    /// Time constant of the exponential smoothing of an adapter's demand; delays the reduction of copies.
    std::chrono::milliseconds demandTimeConstant{10'000};
    /// How long after a request was sent its target is assumed to hold the adapter without a report that lists it.
    std::chrono::milliseconds loadConfirmationTimeout{2'000};
    /// Number of adapter records at which those of idle adapters are evicted.
    std::size_t maxAdapters = 100'000;
    std::uint64_t seed = 1;
};

/// Default policy: rendezvous hashing with bounded loads. An adapter's homes are the targets with the highest
/// rendezvous weights for it; its demand determines how many of them are used. A request goes to a target that has its
/// adapter loaded and has capacity, otherwise to a home with capacity, otherwise to the least loaded target of a
/// sample.
///
/// The bound of new targets rises gradually (slow start). Targets in failure backoff or running a suspect are skipped;
/// if no other target is left, they are chosen for requests that aren't suspects. Targets of the local data centre win
/// ties. A decision examines a bounded number of targets and allocates nothing for an adapter seen before.
class bounded_load_policy final : public routing_policy
{
public:
    explicit bounded_load_policy(bounded_load_settings settings = {});
    ~bounded_load_policy() override;

    [[nodiscard]] std::optional<choice> choose(const target_table &targets, const routing_request &request) override;
    void onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                          std::span<const target_index> removed) override;
    void onReport(const target_table &targets, target_index index, std::span<const std::uint64_t> before,
                  std::span<const std::uint64_t> adapters, core::monotonic_time now) override;
    void onAttemptSent(const target_table &targets, target_index index, const routing_request &request) override;
    void onAttemptEnded(const target_table &targets, target_index index, const routing_request &request) override;
    void setEntryCount(std::uint32_t entries) override;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::routing
