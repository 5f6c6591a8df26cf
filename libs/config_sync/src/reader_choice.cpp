#include <medlarrack/config_sync/reader_choice.hpp>
#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <map>

namespace medlarrack::config_sync {

namespace {

constexpr std::size_t spareCount = 4;

struct candidate
{
    std::uint64_t weight = 0;
    const instances::instance *instance = nullptr;
};

using candidate_list = std::vector<candidate>;

candidate makeCandidate(const instances::instance &instance)
{
    static const std::uint64_t key = core::hash64("ticket readers");
    return {core::rendezvousWeight(key, core::hash64(instance.id)), &instance};
}

bool ranksBefore(const candidate &left, const candidate &right)
{
    return left.weight != right.weight ? left.weight > right.weight : left.instance->id < right.instance->id;
}

peer_ref toPeerRef(const candidate &chosen)
{
    return {chosen.instance->id, chosen.instance->address, chosen.instance->port};
}

bool isEligible(const instances::instance &instance)
{
    return instance.kind == instances::instance_kind::sidecar && !instance.leaving;
}

/// The eligible sidecars of the process's data centre, including itself, in rank order.
candidate_list localCandidates(const instances::instance_list &list, const instances::instance &self)
{
    candidate_list candidates;
    for (const auto &listed : list.instances) {
        if (isEligible(listed) && listed.dataCentre == self.dataCentre && listed.id != self.id) {
            candidates.push_back(makeCandidate(listed));
        }
    }
    if (isEligible(self)) {
        candidates.push_back(makeCandidate(self));
    }
    std::sort(candidates.begin(), candidates.end(), ranksBefore);
    return candidates;
}

std::vector<peer_ref> remoteReaders(const instances::instance_list &list, const instances::instance &self)
{
    std::map<std::string_view, candidate> best;
    for (const auto &listed : list.instances) {
        if (!isEligible(listed) || listed.dataCentre == self.dataCentre || listed.id == self.id) {
            continue;
        }
        const auto current = makeCandidate(listed);
        auto &first = best[listed.dataCentre];
        if (first.instance == nullptr || ranksBefore(current, first)) {
            first = current;
        }
    }
    std::vector<peer_ref> readers;
    readers.reserve(best.size());
    for (const auto &[dataCentre, reader] : best) {
        readers.push_back(toPeerRef(reader));
    }
    return readers;
}

} // namespace

peer_choice chooseReaders(const instances::instance_list &list, const instances::instance &self,
                          const choice_settings &settings)
{
    const auto candidates = localCandidates(list, self);
    const auto perReader = std::max<std::size_t>(settings.sidecarsPerReader, 1);
    const auto readerCount = std::max(settings.minReaders, (candidates.size() + perReader - 1) / perReader);
    peer_choice choice;
    choice.readerCount = readerCount;
    bool selfSeen = false;
    for (std::size_t rank = 0; rank < std::min(candidates.size(), readerCount + spareCount); ++rank) {
        const bool isReader = rank < readerCount;
        if (candidates[rank].instance == &self) {
            choice.selfIsReader = isReader;
            choice.selfIsSpare = !isReader;
            selfSeen = true;
        } else {
            if (!selfSeen) {
                choice.higherRanked.push_back(candidates[rank].instance->id);
            }
            (isReader ? choice.localReaders : choice.spares).push_back(toPeerRef(candidates[rank]));
        }
    }
    choice.remoteReaders = remoteReaders(list, self);
    return choice;
}

} // namespace medlarrack::config_sync
