#include "target_directory.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>
#include <medlarrack/routing/bounded_load_policy.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::entry {

namespace {

routing::target_settings targetSettings(const entry_settings &settings)
{
    routing::target_settings result;
    result.dataCentre = settings.dataCentre;
    result.failureBackoff = settings.routing.failureBackoff;
    result.maxFailureBackoff = settings.routing.maxFailureBackoff;
    result.slowStart = settings.routing.slowStart;
    return result;
}

std::unique_ptr<routing::routing_policy> makePolicy(const entry_settings &settings)
{
    routing::bounded_load_settings policy;
    policy.boundFactor = settings.routing.boundFactor;
    policy.copyFill = settings.routing.copyFill;
    // Entries with equal seeds would send their overflow to the same targets.
    policy.seed = core::hash64(settings.instanceId);
    return std::make_unique<routing::bounded_load_policy>(policy);
}

peer::endpoint endpointOf(const instances::instance &instance)
{
    return {instance.address, instance.port};
}

nlohmann::json targetJson(const routing::target &target)
{
    return {{"id", target.instance.id},
            {"data_centre", target.instance.dataCentre},
            {"address", target.instance.address},
            {"port", target.instance.port},
            {"leaving", target.leaving},
            {"outstanding", target.outstanding},
            {"suspects", target.suspects},
            {"failures", target.consecutiveFailures},
            {"load", target.load()},
            {"reported", target.hasReport},
            {"report_sequence", target.report.sequence},
            {"running", target.report.running},
            {"queued", target.report.queued},
            {"adapters", target.report.adapters.size()}};
}

} // namespace

struct target_directory::target_group
{
    explicit target_group(const entry_settings &settings)
        : router(targetSettings(settings), makePolicy(settings))
    {
    }

    /// Records an attempt at the chosen target.
    chosen_target recordAttempt(const routing::choice &decision, const routing::routing_request &request)
    {
        router.onAttemptSent(decision.target, request);
        lastUsedAt.resize(std::max<std::size_t>(lastUsedAt.size(), decision.target + 1));
        lastUsedAt[decision.target] = request.now;
        const auto &instance = router.targets().at(decision.target).instance;
        return {decision, instance.id, endpointOf(instance)};
    }

    std::mutex mutex;
    routing::router router;
    /// Time of the last attempt at each target, by target index.
    std::vector<core::monotonic_time> lastUsedAt;
};

target_directory::target_directory(const entry_settings &settings, instances::view &view, const core::clock &clock,
                                   trace::recorder &trace)
    : m_settings(settings)
    , m_view(view)
    , m_clock(clock)
    , m_trace(trace)
{
}

target_directory::~target_directory() = default;

std::optional<chosen_target> target_directory::choose(std::string_view group, const routing::routing_request &request)
{
    const auto found = find(group);
    if (!found) {
        return std::nullopt;
    }
    const std::lock_guard lock(found->mutex);
    const auto decision = found->router.choose(request);
    if (!decision) {
        return std::nullopt;
    }
    return found->recordAttempt(*decision, request);
}

std::optional<chosen_target> target_directory::chooseById(std::string_view group, std::string_view id,
                                                          const routing::routing_request &request)
{
    const auto found = find(group);
    if (!found) {
        return std::nullopt;
    }
    const std::lock_guard lock(found->mutex);
    const auto &targets = found->router.targets();
    const auto index = targets.find(id);
    if (!index || !targets.isCandidate(*index)) {
        return std::nullopt;
    }
    return found->recordAttempt({*index, routing::choice_reason::same_again, targets.at(*index).load(), 0}, request);
}

std::string target_directory::makeKey(std::string_view group, const routing::routing_request &request)
{
    const core::wall_time createdAt = m_clock.wallNow();
    const auto found = find(group);
    if (!found) {
        return core::makeUuid7(createdAt);
    }
    const std::lock_guard lock(found->mutex);
    const auto decision = found->router.choose(request);
    if (!decision) {
        return core::makeUuid7(createdAt);
    }
    const auto &target = found->router.targets().at(decision->target);
    if (!target.hasReport) {
        return core::makeUuid7(createdAt);
    }
    return idempotency::makeBoundKey(createdAt, {target.instance.id, target.report.incarnation});
}

void target_directory::onAttemptEnded(std::string_view group, routing::target_index target,
                                      const routing::routing_request &request, routing::attempt_result result,
                                      std::string_view cause)
{
    const auto found = find(group);
    if (!found) {
        return;
    }
    const std::lock_guard lock(found->mutex);
    const auto &targetState = found->router.targets().at(target);
    const std::uint32_t failuresBefore = targetState.consecutiveFailures;
    const std::string subject = "target " + targetState.instance.id;
    found->router.onAttemptEnded(target, request, result);
    if (result == routing::attempt_result::failed) {
        m_trace.change(m_clock.wallNow(), subject, "failing", cause, {{"failures", failuresBefore + 1}});
    } else if (result == routing::attempt_result::answered && failuresBefore > 0) {
        m_trace.change(m_clock.wallNow(), subject, "usable", "answered");
    }
}

void target_directory::applyReport(std::string_view id, const peer::load_report &report)
{
    const auto found = findGroupOfTarget(id);
    if (!found) {
        return;
    }
    routing::target_report targetReport;
    targetReport.incarnation = report.sender.incarnation;
    targetReport.sequence = report.sequence;
    targetReport.running = report.running;
    targetReport.queued = report.queued;
    targetReport.batchSize = report.batchSize;
    targetReport.slots = report.slots;
    for (const core::adapter_ref &adapter : report.adapters) {
        targetReport.adapters.push_back(core::hash64(adapter.toString()));
    }
    {
        const std::lock_guard lock(found->mutex);
        found->router.applyReport(id, std::move(targetReport), m_clock.now());
    }
    if (report.leaving) {
        markLeaving(id, report.sender.incarnation, "load report");
    } else {
        m_view.markServing(id, report.sender.incarnation);
    }
}

void target_directory::clearReport(std::string_view id)
{
    const auto found = findGroupOfTarget(id);
    if (found) {
        const std::lock_guard lock(found->mutex);
        found->router.clearReport(id);
    }
}

void target_directory::markLeaving(std::string_view id, std::uint64_t incarnation, std::string_view cause)
{
    const auto found = findGroupOfTarget(id);
    if (!found) {
        return;
    }
    // Without the incarnation the view couldn't recognise a later one that serves.
    if (incarnation != 0) {
        m_view.markLeaving(id, incarnation);
    }
    const std::lock_guard lock(found->mutex);
    if (found->router.markLeaving(id)) {
        m_trace.change(m_clock.wallNow(), "target " + std::string(id), "leaving", cause);
    }
}

std::vector<watch_candidate> target_directory::sidecars()
{
    refresh();
    std::vector<watch_candidate> result;
    const std::shared_lock lock(m_mutex);
    for (const auto &[name, group] : m_groups) {
        const std::lock_guard groupLock(group->mutex);
        const auto &targets = group->router.targets();
        for (routing::target_index index = 0; index < targets.indexCount(); ++index) {
            const auto &target = targets.at(index);
            if (target.listed) {
                const auto lastUsedAt =
                    index < group->lastUsedAt.size() ? group->lastUsedAt[index] : core::monotonic_time{};
                result.push_back({target.instance.id, endpointOf(target.instance), lastUsedAt});
            }
        }
    }
    return result;
}

std::string target_directory::debugJson(std::size_t maxTargets)
{
    refresh();
    nlohmann::json result = nlohmann::json::object();
    const std::shared_lock lock(m_mutex);
    for (const auto &[name, group] : m_groups) {
        const std::lock_guard groupLock(group->mutex);
        nlohmann::json listed = nlohmann::json::array();
        const auto &targets = group->router.targets();
        for (routing::target_index index = 0; index < targets.indexCount() && listed.size() < maxTargets; ++index) {
            if (targets.at(index).listed) {
                listed.push_back(targetJson(targets.at(index)));
            }
        }
        result[name] = std::move(listed);
    }
    return result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void target_directory::refresh()
{
    const auto current = m_view.current();
    {
        const std::shared_lock lock(m_mutex);
        if (current == m_list) {
            return;
        }
    }
    const std::unique_lock lock(m_mutex);
    // Read again under the lock, so that no thread replaces a newer list by an older one.
    const auto newest = m_view.current();
    if (newest != m_list) {
        rebuild(*newest);
        m_list = newest;
    }
}

std::shared_ptr<target_directory::target_group> target_directory::find(std::string_view group)
{
    refresh();
    const std::shared_lock lock(m_mutex);
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : found->second;
}

std::shared_ptr<target_directory::target_group> target_directory::findGroupOfTarget(std::string_view id)
{
    refresh();
    const std::shared_lock lock(m_mutex);
    const auto name = m_groupNameById.find(id);
    if (name == m_groupNameById.end()) {
        return nullptr;
    }
    const auto found = m_groups.find(name->second);
    return found == m_groups.end() ? nullptr : found->second;
}

std::shared_ptr<target_directory::target_group> target_directory::makeGroup() const
{
    return std::make_shared<target_group>(m_settings);
}

void target_directory::rebuild(const instances::instance_list &list)
{
    std::map<std::string, std::vector<instances::instance>> instancesByGroup;
    std::uint32_t entryCount = 0;
    m_groupNameById.clear();
    for (const instances::instance &instance : list.instances) {
        if (instance.kind == instances::instance_kind::entry) {
            entryCount += instance.leaving ? 0 : 1;
            continue;
        }
        instancesByGroup[instance.group].push_back(instance);
        m_groupNameById[instance.id] = instance.group;
    }
    for (const auto &[name, members] : instancesByGroup) {
        auto &group = m_groups[name];
        if (!group) {
            group = makeGroup();
        }
    }
    // Groups without instances are kept, because attempts at their targets may still be running.
    for (const auto &[name, group] : m_groups) {
        const std::lock_guard lock(group->mutex);
        group->router.update(instancesByGroup[name], entryCount, m_clock.now());
    }
    m_trace.change(m_clock.wallNow(), "instances", "updated", "instance list",
                   {{"instances", std::uint64_t{list.instances.size()}}, {"entries", entryCount}});
}

} // namespace medlarrack::entry
