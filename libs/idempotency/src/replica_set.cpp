#include "replica_set.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::idempotency::detail {

namespace {

bool contains(std::span<const std::string> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

replica_set::replica_set(std::string selfId)
    : m_selfId(std::move(selfId))
{
}

std::optional<membership_change> replica_set::applyList(core::wall_time asOf, std::span<const std::string> listed,
                                                        std::chrono::milliseconds clockSkewMargin)
{
    if (m_asOf && asOf <= *m_asOf) {
        return std::nullopt;
    }
    m_asOf = asOf;
    membership_change change;
    change.removed = removeMissing(asOf, listed, clockSkewMargin);
    for (const std::string &id : listed) {
        if (id == m_selfId) {
            continue;
        }
        auto [found, isNew] = m_members.try_emplace(id);
        found->second.listed = true;
        if (isNew) {
            change.added.push_back(id);
        }
    }
    const bool listedBefore = std::exchange(m_selfListed, contains(listed, m_selfId));
    change.selfJoined = m_selfListed && !listedBefore;
    return change;
}

std::vector<std::string> replica_set::removeMissing(core::wall_time asOf, std::span<const std::string> listed,
                                                    std::chrono::milliseconds clockSkewMargin)
{
    std::vector<std::string> removed;
    for (const auto &[id, known] : m_members) {
        const bool mayPostdateList = !known.listed && asOf <= known.firstSeenAt + clockSkewMargin;
        if (!mayPostdateList && !contains(listed, id)) {
            removed.push_back(id);
        }
    }
    for (const std::string &id : removed) {
        m_members.erase(id);
    }
    return removed;
}

void replica_set::addUnlisted(std::string_view id, core::wall_time now)
{
    if (id == m_selfId || m_members.contains(id)) {
        return;
    }
    m_members.emplace(std::string(id), member{false, now});
}

std::vector<std::string> replica_set::members() const
{
    std::vector<std::string> ids;
    ids.reserve(m_members.size());
    for (const auto &[id, known] : m_members) {
        ids.push_back(id);
    }
    return ids;
}

bool replica_set::isSelfListed(core::wall_time now, std::chrono::milliseconds lease) const
{
    return m_selfListed && m_asOf && now <= *m_asOf + lease;
}

} // namespace medlarrack::idempotency::detail
