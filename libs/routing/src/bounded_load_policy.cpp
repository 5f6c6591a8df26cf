#include "adapter_table.hpp"
#include "sampler.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/routing/bounded_load_policy.hpp>

#include <algorithm>
#include <cmath>

namespace medlarrack::routing {

namespace {

using detail::adapter_record;

/// The best of the offered targets that pass a test: the least loaded, then the nearest.
template<typename Test>
std::optional<target_index> bestOf(const target_table &targets, std::span<const target_index> offered, Test passes)
{
    std::optional<target_index> best;
    for (const target_index index : offered) {
        if (passes(index) && (!best || detail::isBetter(targets, index, *best))) {
            best = index;
        }
    }
    return best;
}

} // namespace

class bounded_load_policy::impl
{
public:
    explicit impl(bounded_load_settings settings)
        : m_settings(settings)
        , m_adapters(settings.maxAdapters)
        , m_sampler(settings.seed)
    {
    }

    std::optional<choice> choose(const target_table &targets, const routing_request &request)
    {
        if (request.suspect) {
            return chooseAlone(targets, request);
        }
        const auto found =
            request.adapter == 0 ? chooseForService(targets, request) : chooseForAdapter(targets, request);
        return found ? found : chooseLastResort(targets, request);
    }

    void onReport(target_index index, std::span<const std::uint64_t> before, std::span<const std::uint64_t> adapters,
                  core::monotonic_time now)
    {
        for (const std::uint64_t adapter : before) {
            if (!std::binary_search(adapters.begin(), adapters.end(), adapter)) {
                m_adapters.dropHolder(adapter, index, now - m_settings.loadConfirmationTimeout);
            }
        }
        for (const std::uint64_t adapter : adapters) {
            m_adapters.addHolder(adapter, {index, true, {}});
        }
    }

    void onAttemptSent(target_index index, const routing_request &request)
    {
        if (request.adapter == 0) {
            return;
        }
        adapter_record &record = m_adapters.record(request.adapter);
        smoothDemand(record, request.now);
        ++record.inFlight;
        m_adapters.addHolder(request.adapter, {index, false, request.now});
    }

    void onAttemptEnded(const routing_request &request)
    {
        if (request.adapter == 0) {
            return;
        }
        adapter_record &record = m_adapters.record(request.adapter);
        smoothDemand(record, request.now);
        record.inFlight -= std::min(record.inFlight, 1U);
    }

    detail::adapter_table &adapters()
    {
        return m_adapters;
    }

    void setEntryCount(std::uint32_t entries)
    {
        m_entries = std::max(entries, 1U);
    }

private:
    std::optional<choice> chooseForAdapter(const target_table &targets, const routing_request &request)
    {
        adapter_record &record = m_adapters.withHomes(targets, request.adapter);
        dropExpiredHolders(targets, record, request.now);
        const std::uint32_t copies = copiesWanted(targets, record, request.now);
        const auto wanted = record.homeList().first(std::min<std::size_t>(copies, record.homeCount));

        const auto loaded = bestLoaded(targets, request, record);
        const bool enough = record.holders.size() >= copies;
        if (loaded && (enough || targets.at(*loaded).load() < copyCapacity(targets, *loaded))) {
            return decided(targets, loaded, choice_reason::adapter_loaded, copies);
        }
        if (const auto home = bestWithRoom(targets, request, wanted)) {
            const auto reason = loaded ? choice_reason::new_copy : choice_reason::home;
            return decided(targets, home, reason, copies);
        }
        if (loaded) {
            return decided(targets, loaded, choice_reason::adapter_loaded, copies);
        }
        const auto further = record.homeList().subspan(wanted.size());
        for (const target_index index : further) {
            if (hasRoom(targets, request, index)) {
                return decided(targets, index, choice_reason::further_home, copies);
            }
        }
        return leastLoaded(targets, request, choice_reason::spill, copies);
    }

    std::optional<choice> chooseForService(const target_table &targets, const routing_request &request)
    {
        if (request.key == 0) {
            return leastLoaded(targets, request, choice_reason::least_loaded, 0);
        }
        std::optional<target_index> best;
        std::uint64_t bestWeight = 0;
        for (const target_index index : m_sampler.drawByKey(targets.candidates(), request.key)) {
            const std::uint64_t weight = core::rendezvousWeight(request.key, targets.at(index).idHash);
            if (mayTake(targets, request, index) && (!best || weight > bestWeight)) {
                best = index;
                bestWeight = weight;
            }
        }
        return decided(targets, best, choice_reason::key_home, 0);
    }

    /// The least loaded of a sample, first of those with room, then of all but new ones, then of all.
    std::optional<choice> leastLoaded(const target_table &targets, const routing_request &request, choice_reason reason,
                                      std::uint32_t copies)
    {
        const auto sample = m_sampler.draw(targets.candidates());
        auto best = bestOf(targets, sample, [&](target_index index) {
            return hasRoom(targets, request, index);
        });
        if (!best) {
            best = bestOf(targets, sample, [&](target_index index) {
                return mayTake(targets, request, index) && targets.slowStartFactor(index, request.now) >= 1;
            });
        }
        if (!best) {
            best = bestOf(targets, sample, [&](target_index index) {
                return mayTake(targets, request, index);
            });
        }
        return decided(targets, best, reason, copies);
    }

    std::optional<choice> chooseAlone(const target_table &targets, const routing_request &request)
    {
        const auto sample = m_sampler.draw(targets.candidates());
        const auto best = bestOf(targets, sample, [&](target_index index) {
            return mayTake(targets, request, index);
        });
        return decided(targets, best, choice_reason::suspect_alone, 0);
    }

    /// Takes targets that failed lately or run a suspect rather than refuse.
    std::optional<choice> chooseLastResort(const target_table &targets, const routing_request &request)
    {
        const auto sample = m_sampler.draw(targets.candidates());
        const auto best = bestOf(targets, sample, [&](target_index index) {
            return targets.isCandidate(index) && !detail::isExcluded(request, index);
        });
        return decided(targets, best, choice_reason::last_resort, 0);
    }

    std::optional<target_index> bestLoaded(const target_table &targets, const routing_request &request,
                                           const adapter_record &record) const
    {
        std::optional<target_index> best;
        for (const detail::holder &value : record.holders) {
            const bool better = !best || detail::isBetter(targets, value.target, *best);
            if (better && hasRoom(targets, request, value.target)) {
                best = value.target;
            }
        }
        return best;
    }

    std::optional<target_index> bestWithRoom(const target_table &targets, const routing_request &request,
                                             std::span<const target_index> offered) const
    {
        return bestOf(targets, offered, [&](target_index index) {
            return hasRoom(targets, request, index);
        });
    }

    static bool mayTake(const target_table &targets, const routing_request &request, target_index index)
    {
        return targets.isUsable(index, request.now) && targets.at(index).suspects == 0
            && !detail::isExcluded(request, index);
    }

    /// Whether one more request keeps the target within its bound.
    bool hasRoom(const target_table &targets, const routing_request &request, target_index index) const
    {
        if (!mayTake(targets, request, index)) {
            return false;
        }
        const double shared = std::ceil(m_settings.boundFactor * targets.meanLoad());
        const double bound = std::max<double>(targets.batchSize(index), shared);
        const double allowed = std::max(1.0, bound * targets.slowStartFactor(index, request.now));
        return targets.at(index).load() + 1 <= allowed;
    }

    [[nodiscard]] double copyCapacity(const target_table &targets, target_index index) const
    {
        return std::max(1.0, m_settings.copyFill * targets.batchSize(index));
    }

    std::uint32_t copiesWanted(const target_table &targets, adapter_record &record, core::monotonic_time now) const
    {
        if (record.homeCount == 0) {
            return 1;
        }
        smoothDemand(record, now);
        // Rising demand counts at once, falling demand is forgotten slowly.
        const double here = std::max<double>(record.demand, record.inFlight);
        const double wanted = std::ceil(here * m_entries / copyCapacity(targets, record.homes[0]));
        return static_cast<std::uint32_t>(std::clamp<double>(wanted, 1, record.homeCount));
    }

    void smoothDemand(adapter_record &record, core::monotonic_time now) const
    {
        const std::chrono::duration<double> passed = now - record.demandAt;
        const std::chrono::duration<double> memory = m_settings.demandTimeConstant;
        const double kept = std::exp(-passed / memory);
        record.demand = static_cast<float>(record.demand * kept + record.inFlight * (1 - kept));
        record.demandAt = now;
    }

    /// Drops targets that were sent a request for the adapter and whose reports still don't show it.
    void dropExpiredHolders(const target_table &targets, adapter_record &record, core::monotonic_time now) const
    {
        std::erase_if(record.holders, [&](const detail::holder &value) {
            const target &known = targets.at(value.target);
            return !value.confirmed && known.hasReport && now - value.since > m_settings.loadConfirmationTimeout;
        });
    }

    static std::optional<choice> decided(const target_table &targets, std::optional<target_index> index,
                                         choice_reason reason, std::uint32_t copies)
    {
        if (!index) {
            return std::nullopt;
        }
        return choice{*index, reason, targets.at(*index).load(), copies};
    }

    bounded_load_settings m_settings;
    detail::adapter_table m_adapters;
    detail::sampler m_sampler;
    std::uint32_t m_entries = 1;
};

bounded_load_policy::bounded_load_policy(bounded_load_settings settings)
    : m_impl(std::make_unique<impl>(settings))
{
}

bounded_load_policy::~bounded_load_policy() = default;

std::optional<choice> bounded_load_policy::choose(const target_table &targets, const routing_request &request)
{
    return m_impl->choose(targets, request);
}

void bounded_load_policy::onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                                           std::span<const target_index> removed)
{
    m_impl->adapters().onTargetsChanged(targets, added, removed);
}

void bounded_load_policy::onReport(const target_table & /*targets*/, target_index index,
                                   std::span<const std::uint64_t> before, std::span<const std::uint64_t> adapters,
                                   core::monotonic_time now)
{
    m_impl->onReport(index, before, adapters, now);
}

void bounded_load_policy::onAttemptSent(const target_table & /*targets*/, target_index index,
                                        const routing_request &request)
{
    m_impl->onAttemptSent(index, request);
}

void bounded_load_policy::onAttemptEnded(const target_table & /*targets*/, target_index /*index*/,
                                         const routing_request &request)
{
    m_impl->onAttemptEnded(request);
}

void bounded_load_policy::setEntryCount(std::uint32_t entries)
{
    m_impl->setEntryCount(entries);
}

} // namespace medlarrack::routing
