#include <medlarrack/instances/view.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>

namespace medlarrack::instances {

namespace {

/// Number of consecutive newer lists without an instance after which its own report is discarded. Lists lag behind
/// reports, so one isn't enough.
constexpr unsigned listsUntilReportDiscarded = 16;

/// An instance's own report that it is leaving.
struct leaving_report
{
    std::uint64_t incarnation = 0;
    unsigned listsMissing = 0;
};

/// An immutable list with its index.
struct snapshot
{
    instance_list list;
    /// Positions in the list, by group.
    std::unordered_map<std::string, std::vector<std::size_t>> groups;
};

bool idLess(const instance &left, const instance &right)
{
    return left.id < right.id;
}

void sortAndMerge(std::vector<instance> &instances)
{
    std::stable_sort(instances.begin(), instances.end(), idLess);
    std::size_t uniqueCount = 0;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (uniqueCount > 0 && instances[uniqueCount - 1].id == instances[index].id) {
            instances[uniqueCount - 1].leaving |= instances[index].leaving;
            continue;
        }
        if (uniqueCount != index) {
            instances[uniqueCount] = std::move(instances[index]);
        }
        ++uniqueCount;
    }
    instances.resize(uniqueCount);
}

const instance *findById(const std::vector<instance> &instances, std::string_view id)
{
    const auto found =
        std::lower_bound(instances.begin(), instances.end(), id, [](const instance &left, std::string_view right) {
            return left.id < right;
        });
    return found != instances.end() && found->id == id ? &*found : nullptr;
}

} // namespace

class view::impl
{
public:
    mutable std::mutex mutex;
    /// The platform's list as read.
    instance_list published;
    std::shared_ptr<const snapshot> corrected = std::make_shared<snapshot>();
    std::map<std::string, leaving_report, std::less<>> leaving;
    std::optional<core::monotonic_time> lastRead;

    [[nodiscard]] std::shared_ptr<const snapshot> currentSnapshot() const
    {
        const std::lock_guard lock(mutex);
        return corrected;
    }

    /// Rebuilds the corrected list. The caller holds the mutex.
    void rebuild()
    {
        auto next = std::make_shared<snapshot>();
        next->list = published;
        for (std::size_t index = 0; index < next->list.instances.size(); ++index) {
            auto &instance = next->list.instances[index];
            instance.leaving |= leaving.find(instance.id) != leaving.end();
            next->groups[instance.group].push_back(index);
        }
        corrected = std::move(next);
    }

    void discardStaleReports()
    {
        for (auto report = leaving.begin(); report != leaving.end();) {
            const bool listed = findById(published.instances, report->first) != nullptr;
            report->second.listsMissing = listed ? 0 : report->second.listsMissing + 1;
            report =
                report->second.listsMissing >= listsUntilReportDiscarded ? leaving.erase(report) : std::next(report);
        }
    }
};

view::view()
    : m_impl(std::make_unique<impl>())
{
}

view::~view() = default;

bool view::apply(instance_list list, core::monotonic_time now)
{
    sortAndMerge(list.instances);
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->lastRead && list.asOf < m_impl->published.asOf) {
        return false;
    }
    m_impl->lastRead = now;
    const bool newer = list.asOf > m_impl->published.asOf;
    const auto previous = m_impl->corrected;
    m_impl->published = std::move(list);
    if (newer) {
        m_impl->discardStaleReports();
    }
    m_impl->rebuild();
    return previous->list.instances != m_impl->corrected->list.instances;
}

void view::markLeaving(std::string_view id, std::uint64_t incarnation)
{
    const std::lock_guard lock(m_impl->mutex);
    auto found = m_impl->leaving.find(id);
    if (found != m_impl->leaving.end()) {
        found->second.incarnation = std::max(found->second.incarnation, incarnation);
        return;
    }
    m_impl->leaving.emplace(std::string(id), leaving_report{incarnation, 0});
    m_impl->rebuild();
}

void view::markServing(std::string_view id, std::uint64_t incarnation)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->leaving.find(id);
    if (found == m_impl->leaving.end() || found->second.incarnation == 0 || incarnation <= found->second.incarnation) {
        return;
    }
    m_impl->leaving.erase(found);
    m_impl->rebuild();
}

std::shared_ptr<const instance_list> view::current() const
{
    const auto latest = m_impl->currentSnapshot();
    return {latest, &latest->list};
}

std::optional<core::monotonic_time> view::lastRead() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->lastRead;
}

std::vector<instance> view::group(std::string_view name) const
{
    const auto latest = m_impl->currentSnapshot();
    std::vector<instance> members;
    const auto found = latest->groups.find(std::string(name));
    if (found == latest->groups.end()) {
        return members;
    }
    members.reserve(found->second.size());
    for (const std::size_t index : found->second) {
        members.push_back(latest->list.instances[index]);
    }
    return members;
}

std::optional<instance> view::find(std::string_view id) const
{
    const auto latest = m_impl->currentSnapshot();
    const auto *found = findById(latest->list.instances, id);
    return found != nullptr ? std::optional(*found) : std::nullopt;
}

} // namespace medlarrack::instances
