#include <medlarrack/routing/router.hpp>

namespace medlarrack::routing {

void routing_policy::onTargetsChanged(const target_table & /*targets*/, std::span<const target_index> /*added*/,
                                      std::span<const target_index> /*removed*/)
{
}

void routing_policy::onReport(const target_table & /*targets*/, target_index /*index*/,
                              std::span<const std::uint64_t> /*before*/, std::span<const std::uint64_t> /*adapters*/,
                              core::monotonic_time /*now*/)
{
}

void routing_policy::onAttemptSent(const target_table & /*targets*/, target_index /*index*/,
                                   const routing_request & /*request*/)
{
}

void routing_policy::onAttemptEnded(const target_table & /*targets*/, target_index /*index*/,
                                    const routing_request & /*request*/)
{
}

void routing_policy::setEntryCount(std::uint32_t /*entries*/)
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
    m_policy->onTargetsChanged(m_targets, changes.added, changes.removed);
    m_policy->setEntryCount(entries);
}

bool router::markLeaving(std::string_view id)
{
    const auto index = m_targets.find(id);
    return index && m_targets.markLeaving(*index);
}

bool router::applyReport(std::string_view id, target_report report, core::monotonic_time now)
{
    const auto index = m_targets.find(id);
    if (!index) {
        return false;
    }
    const std::vector<std::uint64_t> before = m_targets.at(*index).report.adapters;
    if (!m_targets.applyReport(*index, std::move(report), now)) {
        return false;
    }
    m_policy->onReport(m_targets, *index, before, m_targets.at(*index).report.adapters, now);
    return true;
}

void router::clearReport(std::string_view id)
{
    const auto index = m_targets.find(id);
    if (index) {
        m_targets.clearReport(*index);
    }
}

std::optional<choice> router::choose(const routing_request &request)
{
    return m_policy->choose(m_targets, request);
}

void router::onAttemptSent(target_index index, const routing_request &request)
{
    m_targets.onAttemptSent(index, request.suspect);
    m_policy->onAttemptSent(m_targets, index, request);
}

void router::onAttemptEnded(target_index index, const routing_request &request, attempt_result result)
{
    m_policy->onAttemptEnded(m_targets, index, request);
    m_targets.onAttemptEnded(index, request.suspect, result, request.now);
}

const target_table &router::targets() const
{
    return m_targets;
}

} // namespace medlarrack::routing
