#pragma once

#include <medlarrack/routing/routing_policy.hpp>

#include <cstdint>

namespace medlarrack::routing {

/// Baseline for comparison: chooses a usable target at random.
class random_policy final : public routing_policy
{
public:
    explicit random_policy(std::uint64_t seed);
    [[nodiscard]] std::optional<choice> choose(const target_table &targets, const routing_request &request) override;

private:
    std::uint64_t m_randomState;
};

/// Baseline for comparison: chooses the usable target with the lowest estimated load. Scans all candidates.
class least_outstanding_policy final : public routing_policy
{
public:
    [[nodiscard]] std::optional<choice> choose(const target_table &targets, const routing_request &request) override;
};

/// Baseline for comparison: chooses the usable target with the highest rendezvous weight for the adapter. Scans all
/// candidates.
class rendezvous_policy final : public routing_policy
{
public:
    [[nodiscard]] std::optional<choice> choose(const target_table &targets, const routing_request &request) override;
};

} // namespace medlarrack::routing
