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
    const instances::instance *where = nullptr;
};

using candidate_list = std::vector<candidate>;

candidate weigh(const instances::instance &where)
{
    static const std::uint64_t key = core::hash64("ticket readers");
    return {core::rendezvousWeight(key, core::hash64(where.id)), &where};
}

bool heavier(const candidate &left, const candidate &right)
{
    return left.weight != right.weight ? left.weight > right.weight : left.where->id < right.where->id;
}

peer_ref refTo(const candidate &chosen)
{
    return {chosen.where->id, chosen.where->address, chosen.where->port};
}

bool canRead(const instances::instance &where)
{
    return where.kind == instances::instance_kind::sidecar && !where.leaving;
}

/// The sidecars of the process's own data centre, itself included, best first.
candidate_list ownCandidates(const instances::instance_list &list, const instances::instance &self)
{
    candidate_list own;
    for (const auto &listed : list.instances) {
        if (canRead(listed) && listed.dataCentre == self.dataCentre && listed.id != self.id) {
            own.push_back(weigh(listed));
        }
    }
    if (canRead(self)) {
        own.push_back(weigh(self));
    }
    std::sort(own.begin(), own.end(), heavier);
    return own;
}

std::vector<peer_ref> farReaders(const instances::instance_list &list, const instances::instance &self)
{
    std::map<std::string_view, candidate> best;
    for (const auto &listed : list.instances) {
        if (!canRead(listed) || listed.dataCentre == self.dataCentre || listed.id == self.id) {
            continue;
        }
        const auto weighed = weigh(listed);
        auto &first = best[listed.dataCentre];
        if (first.where == nullptr || heavier(weighed, first)) {
            first = weighed;
        }
    }
    std::vector<peer_ref> readers;
    readers.reserve(best.size());
    for (const auto &[dataCentre, reader] : best) {
        readers.push_back(refTo(reader));
    }
    return readers;
}

} // namespace

peer_choice chooseReaders(const instances::instance_list &list, const instances::instance &self,
                          const choice_settings &settings)
{
    const auto own = ownCandidates(list, self);
    const auto perReader = std::max<std::size_t>(settings.sidecarsPerReader, 1);
    const auto readers = std::max(settings.leastReaders, (own.size() + perReader - 1) / perReader);
    peer_choice choice;
    choice.readers = readers;
    bool selfSeen = false;
    for (std::size_t rank = 0; rank < std::min(own.size(), readers + spareCount); ++rank) {
        const bool reads = rank < readers;
        if (own[rank].where == &self) {
            choice.selfReads = reads;
            choice.selfIsSpare = !reads;
            selfSeen = true;
        } else {
            if (!selfSeen) {
                choice.before.push_back(own[rank].where->id);
            }
            (reads ? choice.nearReaders : choice.spares).push_back(refTo(own[rank]));
        }
    }
    choice.farReaders = farReaders(list, self);
    return choice;
}

} // namespace medlarrack::config_sync
