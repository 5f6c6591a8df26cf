#pragma once

#include <medlarrack/routing/routing_policy.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace medlarrack::routing {

/// Settings of the bounded load policy.
struct bounded_load_settings
{
    /// A target counts as full above this multiple of the mean load, but not before its batch is full.
    double boundFactor = 1.25;
    /// Share of a batch that one copy of an adapter is to fill before demand asks for another copy.
    double copyFill = 0.5;
    /// Time constant with which falling demand is forgotten.
    std::chrono::milliseconds demandTimeConstant{10'000};
    /// Time for which a target counts as holding an adapter that was sent there, until reports show it.
    std::chrono::milliseconds loadConfirmationTimeout{2'000};
    /// Adapters remembered; idle ones make room.
    std::size_t maxAdapters = 100'000;
    std::uint64_t seed = 1;
};

/// The standard policy. Each adapter has homes by rendezvous hashing, as many as its demand fills; a request goes where
/// its adapter is loaded and there is room, else to a home with room, else to the least loaded of a sample. Targets
/// that are new get work slowly; ones that failed lately or run a suspect are left out. Equal ones are decided by
/// nearness. A decision looks at a bounded number of targets and, for an adapter seen before, allocates nothing.
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
