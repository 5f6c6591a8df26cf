#include <medlarrack/instances/view.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>

namespace medlarrack::instances {

namespace {

/// Lists without an instance after which what it said of itself is forgotten. Lists lag, so one isn't enough.
constexpr unsigned listsUntilForgotten = 16;

/// What an instance said of itself.
struct self_report
{
    std::uint64_t incarnation = 0;
    unsigned listsWithout = 0;
};

/// A list with its index, never changed after it is made.
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
    std::size_t kept = 0;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (kept > 0 && instances[kept - 1].id == instances[index].id) {
            instances[kept - 1].leaving |= instances[index].leaving;
            continue;
        }
        if (kept != index) {
            instances[kept] = std::move(instances[index]);
        }
        ++kept;
    }
    instances.resize(kept);
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
    std::map<std::string, self_report, std::less<>> leaving;
    std::optional<core::monotonic_time> lastRead;

    [[nodiscard]] std::shared_ptr<const snapshot> take() const
    {
        const std::lock_guard lock(mutex);
        return corrected;
    }

    /// Makes the corrected list anew; the mutex is held.
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

    void forgetGone()
    {
        for (auto report = leaving.begin(); report != leaving.end();) {
            const bool listed = findById(published.instances, report->first) != nullptr;
            report->second.listsWithout = listed ? 0 : report->second.listsWithout + 1;
            report = report->second.listsWithout >= listsUntilForgotten ? leaving.erase(report) : std::next(report);
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
    const auto before = m_impl->corrected;
    m_impl->published = std::move(list);
    if (newer) {
        m_impl->forgetGone();
    }
    m_impl->rebuild();
    return before->list.instances != m_impl->corrected->list.instances;
}

void view::markLeaving(std::string_view id, std::uint64_t incarnation)
{
    const std::lock_guard lock(m_impl->mutex);
    auto found = m_impl->leaving.find(id);
    if (found != m_impl->leaving.end()) {
        found->second.incarnation = std::max(found->second.incarnation, incarnation);
        return;
    }
    m_impl->leaving.emplace(std::string(id), self_report{incarnation, 0});
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
    const auto taken = m_impl->take();
    return {taken, &taken->list};
}

std::optional<core::monotonic_time> view::lastRead() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->lastRead;
}

std::vector<instance> view::group(std::string_view name) const
{
    const auto taken = m_impl->take();
    std::vector<instance> members;
    const auto found = taken->groups.find(std::string(name));
    if (found == taken->groups.end()) {
        return members;
    }
    members.reserve(found->second.size());
    for (const std::size_t index : found->second) {
        members.push_back(taken->list.instances[index]);
    }
    return members;
}

std::optional<instance> view::find(std::string_view id) const
{
    const auto taken = m_impl->take();
    const auto *found = findById(taken->list.instances, id);
    return found != nullptr ? std::optional(*found) : std::nullopt;
}

} // namespace medlarrack::instances
