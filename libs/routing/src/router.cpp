#include <medlarrack/routing/router.hpp>

namespace medlarrack::routing {

void routing_policy::targetsChanged(const target_table & /*targets*/, std::span<const target_index> /*added*/,
                                    std::span<const target_index> /*removed*/)
{
}

void routing_policy::reported(const target_table & /*targets*/, target_index /*index*/,
                              std::span<const std::uint64_t> /*before*/, std::span<const std::uint64_t> /*adapters*/,
                              core::monotonic_time /*now*/)
{
}

void routing_policy::sent(const target_table & /*targets*/, target_index /*index*/, const routing_request & /*request*/)
{
}

void routing_policy::ended(const target_table & /*targets*/, target_index /*index*/,
                           const routing_request & /*request*/)
{
}

void routing_policy::setEntries(std::uint32_t /*entries*/)
{
}

router::router(target_settings settings, std::unique_ptr<routing_policy> policy)
    : m_targets(std::move(settings))
    , m_policy(std::move(policy))
{
}

void router::update(std::span<const instances::instance> listed, std::uint32_t entries, core::monotonic_time now)
{
    const auto changes = m_targets.update(listed, now);
    m_policy->targetsChanged(m_targets, changes.added, changes.removed);
    m_policy->setEntries(entries);
}

bool router::markLeaving(std::string_view id)
{
    const auto index = m_targets.find(id);
    return index && m_targets.markLeaving(*index);
}

bool router::takeReport(std::string_view id, target_report report, core::monotonic_time now)
{
    const auto index = m_targets.find(id);
    if (!index) {
        return false;
    }
    const std::vector<std::uint64_t> before = m_targets.at(*index).report.adapters;
    if (!m_targets.takeReport(*index, std::move(report), now)) {
        return false;
    }
    m_policy->reported(m_targets, *index, before, m_targets.at(*index).report.adapters, now);
    return true;
}

void router::loseReport(std::string_view id)
{
    const auto index = m_targets.find(id);
    if (index) {
        m_targets.loseReport(*index);
    }
}

std::optional<choice> router::choose(const routing_request &request)
{
    return m_policy->choose(m_targets, request);
}

void router::sent(target_index index, const routing_request &request)
{
    m_targets.sent(index, request.suspect);
    m_policy->sent(m_targets, index, request);
}

void router::ended(target_index index, const routing_request &request, attempt_result result)
{
    m_policy->ended(m_targets, index, request);
    m_targets.ended(index, request.suspect, result, request.now);
}

const target_table &router::targets() const
{
    return m_targets;
}

} // namespace medlarrack::routing
