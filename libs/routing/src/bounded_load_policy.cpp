#include "adapter_table.hpp"
#include "sampler.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/routing/bounded_load_policy.hpp>

#include <algorithm>
#include <cmath>

namespace medlarrack::routing {

namespace {

using detail::adapter_record;

/// The most preferred of the candidates that match the predicate; see isPreferred().
template<typename Predicate>
std::optional<target_index> bestOf(const target_table &targets, std::span<const target_index> candidates,
                                   Predicate matches)
{
    std::optional<target_index> best;
    for (const target_index index : candidates) {
        if (matches(index) && (!best || detail::isPreferred(targets, index, *best))) {
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
            return chooseForSuspect(targets, request);
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
                m_adapters.removeHolder(adapter, index, now - m_settings.loadConfirmationTimeout);
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
        adapter_record &record = m_adapters.recordWithHomes(targets, request.adapter);
        removeExpiredHolders(targets, record, request.now);
        const std::uint32_t copies = copiesWanted(targets, record, request.now);
        const auto wantedHomes = record.homeList().first(std::min<std::size_t>(copies, record.homeCount));

        const auto loaded = bestHolder(targets, request, record);
        const bool enoughHolders = record.holders.size() >= copies;
        if (loaded && (enoughHolders || targets.at(*loaded).load() < copyCapacity(targets, *loaded))) {
            return makeChoice(targets, loaded, choice_reason::adapter_loaded, copies);
        }
        if (const auto home = bestWithCapacity(targets, request, wantedHomes)) {
            const auto reason = loaded ? choice_reason::new_copy : choice_reason::home;
            return makeChoice(targets, home, reason, copies);
        }
        if (loaded) {
            return makeChoice(targets, loaded, choice_reason::adapter_loaded, copies);
        }
        const auto furtherHomes = record.homeList().subspan(wantedHomes.size());
        for (const target_index index : furtherHomes) {
            if (hasCapacity(targets, request, index)) {
                return makeChoice(targets, index, choice_reason::further_home, copies);
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
        for (const target_index index : m_sampler.sampleByKey(targets.candidates(), request.key)) {
            const std::uint64_t weight = core::rendezvousWeight(request.key, targets.at(index).idHash);
            if (isEligible(targets, request, index) && (!best || weight > bestWeight)) {
                best = index;
                bestWeight = weight;
            }
        }
        return makeChoice(targets, best, choice_reason::key_home, 0);
    }

    /// The least loaded target of a sample: of those with capacity, else of those not in slow start, else of all.
    std::optional<choice> leastLoaded(const target_table &targets, const routing_request &request, choice_reason reason,
                                      std::uint32_t copies)
    {
        const auto sample = m_sampler.sample(targets.candidates());
        auto best = bestOf(targets, sample, [&](target_index index) {
            return hasCapacity(targets, request, index);
        });
        if (!best) {
            best = bestOf(targets, sample, [&](target_index index) {
                return isEligible(targets, request, index) && targets.slowStartFactor(index, request.now) >= 1;
            });
        }
        if (!best) {
            best = bestOf(targets, sample, [&](target_index index) {
                return isEligible(targets, request, index);
            });
        }
        return makeChoice(targets, best, reason, copies);
    }

    std::optional<choice> chooseForSuspect(const target_table &targets, const routing_request &request)
    {
        const auto sample = m_sampler.sample(targets.candidates());
        const auto best = bestOf(targets, sample, [&](target_index index) {
            return isEligible(targets, request, index);
        });
        return makeChoice(targets, best, choice_reason::suspect_alone, 0);
    }

    /// Accepts targets in failure backoff or running a suspect rather than refusing the request.
    std::optional<choice> chooseLastResort(const target_table &targets, const routing_request &request)
    {
        const auto sample = m_sampler.sample(targets.candidates());
        const auto best = bestOf(targets, sample, [&](target_index index) {
            return targets.isCandidate(index) && !detail::isExcluded(request, index);
        });
        return makeChoice(targets, best, choice_reason::last_resort, 0);
    }

    std::optional<target_index> bestHolder(const target_table &targets, const routing_request &request,
                                           const adapter_record &record) const
    {
        std::optional<target_index> best;
        for (const detail::holder &value : record.holders) {
            const bool better = !best || detail::isPreferred(targets, value.target, *best);
            if (better && hasCapacity(targets, request, value.target)) {
                best = value.target;
            }
        }
        return best;
    }

    std::optional<target_index> bestWithCapacity(const target_table &targets, const routing_request &request,
                                                 std::span<const target_index> candidates) const
    {
        return bestOf(targets, candidates, [&](target_index index) {
            return hasCapacity(targets, request, index);
        });
    }

    static bool isEligible(const target_table &targets, const routing_request &request, target_index index)
    {
        return targets.isUsable(index, request.now) && targets.at(index).suspects == 0
            && !detail::isExcluded(request, index);
    }

    /// Whether the target stays within its load bound with one more request.
    bool hasCapacity(const target_table &targets, const routing_request &request, target_index index) const
    {
        if (!isEligible(targets, request, index)) {
            return false;
        }
        const double meanBound = std::ceil(m_settings.boundFactor * targets.meanLoad());
        const double bound = std::max<double>(targets.batchSize(index), meanBound);
        const double limit = std::max(1.0, bound * targets.slowStartFactor(index, request.now));
        return targets.at(index).load() + 1 <= limit;
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
        // Rising demand takes effect immediately, falling demand only through the smoothing.
        const double localDemand = std::max<double>(record.demand, record.inFlight);
        const double wanted = std::ceil(localDemand * m_entries / copyCapacity(targets, record.homes[0]));
        return static_cast<std::uint32_t>(std::clamp<double>(wanted, 1, record.homeCount));
    }

    void smoothDemand(adapter_record &record, core::monotonic_time now) const
    {
        const std::chrono::duration<double> elapsed = now - record.demandUpdatedAt;
        const std::chrono::duration<double> timeConstant = m_settings.demandTimeConstant;
        const double decay = std::exp(-elapsed / timeConstant);
        record.demand = static_cast<float>(record.demand * decay + record.inFlight * (1 - decay));
        record.demandUpdatedAt = now;
    }

    /// Removes targets that were sent a request for the adapter but don't report it within the confirmation timeout.
    void removeExpiredHolders(const target_table &targets, adapter_record &record, core::monotonic_time now) const
    {
        std::erase_if(record.holders, [&](const detail::holder &value) {
            const target &known = targets.at(value.target);
            return !value.confirmed && known.hasReport && now - value.lastSentAt > m_settings.loadConfirmationTimeout;
        });
    }

    static std::optional<choice> makeChoice(const target_table &targets, std::optional<target_index> index,
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
