#include "sampler.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/routing/baseline_policies.hpp>
#include <medlarrack/routing/target_table.hpp>

namespace medlarrack::routing {

namespace {

bool isEligible(const target_table &targets, const routing_request &request, target_index index)
{
    return targets.isUsable(index, request.now) && !detail::isExcluded(request, index);
}

} // namespace

random_policy::random_policy(std::uint64_t seed)
    : m_randomState(seed)
{
}

std::optional<choice> random_policy::choose(const target_table &targets, const routing_request &request)
{
    const auto candidates = targets.candidates();
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t first = detail::splitMix(m_randomState) % candidates.size();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const target_index index = candidates[(first + step) % candidates.size()];
        if (isEligible(targets, request, index)) {
            return choice{index, choice_reason::random, targets.at(index).load(), 0};
        }
    }
    return std::nullopt;
}

std::optional<choice> least_outstanding_policy::choose(const target_table &targets, const routing_request &request)
{
    std::optional<target_index> best;
    for (const target_index index : targets.candidates()) {
        if (isEligible(targets, request, index) && (!best || detail::isPreferred(targets, index, *best))) {
            best = index;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return choice{*best, choice_reason::least_loaded, targets.at(*best).load(), 0};
}

std::optional<choice> rendezvous_policy::choose(const target_table &targets, const routing_request &request)
{
    std::optional<target_index> best;
    std::uint64_t bestWeight = 0;
    for (const target_index index : targets.candidates()) {
        const std::uint64_t weight = core::rendezvousWeight(request.adapter, targets.at(index).idHash);
        if (isEligible(targets, request, index) && (!best || weight > bestWeight)) {
            best = index;
            bestWeight = weight;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return choice{*best, choice_reason::home, targets.at(*best).load(), 1};
}

} // namespace medlarrack::routing
