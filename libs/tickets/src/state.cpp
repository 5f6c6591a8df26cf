#include "key_hash.hpp"
#include "number_set.hpp"

#include <medlarrack/tickets/state.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <utility>

namespace medlarrack::tickets {

namespace {

constexpr std::size_t maxBearerKeyLength = 1024;

/// Hash that lets string views look up without a copy.
struct text_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

template<typename T>
using table = std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

/// The newest state of one object. A null value records a removal, so that a late older ticket can't bring it back.
template<typename T>
struct versioned
{
    std::uint64_t ticket = 0;
    std::shared_ptr<const T> value;
};

template<typename T>
using object_table = table<versioned<T>>;

template<typename T>
std::shared_ptr<const T> findValue(const object_table<T> &objects, std::string_view name)
{
    const auto found = objects.find(name);
    return found != objects.end() ? found->second.value : nullptr;
}

/// "operator/name" cut at its slash; without one the second part is empty.
std::pair<std::string_view, std::string_view> splitAdapterName(std::string_view name)
{
    const auto slash = std::min(name.find('/'), name.size());
    return {name.substr(0, slash), name.substr(std::min(slash + 1, name.size()))};
}

/// A ticket's text and for how many objects it is the newest.
struct live_ticket
{
    std::string text;
    std::size_t objects = 0;
};

} // namespace

class state::impl
{
public:
    explicit impl(ticket_texts texts)
        : keepsTexts(texts == ticket_texts::keep)
    {
    }

    const bool keepsTexts;
    mutable std::shared_mutex mutex;
    object_table<operator_state> operators;
    /// By operator, then by the adapter's name within it.
    table<object_table<adapter_state>> adapters;
    object_table<service_state> services;
    object_table<group_state> groups;
    /// Tickets that are still the newest of some object.
    std::map<std::uint64_t, live_ticket> liveTickets;
    detail::number_set seen;
    std::uint64_t newest = 0;
    std::size_t adapterCount = 0;

    template<typename T>
    void applySection(const object_changes<T> &changes, std::uint64_t number, object_table<T> &objects)
    {
        for (const auto &[name, value] : changes) {
            replace(objects[name], value, number);
        }
    }

    void applyAdapters(const object_changes<adapter_state> &changes, std::uint64_t number)
    {
        for (const auto &[name, value] : changes) {
            const auto [operatorName, adapterName] = splitAdapterName(name);
            auto &slot = adapters[std::string(operatorName)][std::string(adapterName)];
            const bool had = slot.value != nullptr;
            replace(slot, value, number);
            const bool has = slot.value != nullptr;
            adapterCount = adapterCount + (has ? 1 : 0) - (had ? 1 : 0);
        }
    }

private:
    template<typename T>
    void replace(versioned<T> &slot, const std::shared_ptr<const T> &value, std::uint64_t number)
    {
        if (slot.ticket >= number) {
            return;
        }
        release(slot.ticket);
        slot.ticket = number;
        slot.value = value;
        if (keepsTexts) {
            ++liveTickets[number].objects;
        }
    }

    void release(std::uint64_t number)
    {
        const auto found = liveTickets.find(number);
        if (found != liveTickets.end() && --found->second.objects == 0) {
            liveTickets.erase(found);
        }
    }
};

state::state(ticket_texts texts)
    : m_impl(std::make_unique<impl>(texts))
{
}

state::~state() = default;

bool state::apply(const ticket &value)
{
    const std::unique_lock lock(m_impl->mutex);
    if (!m_impl->seen.add(value.number, value.number)) {
        return false;
    }
    m_impl->newest = std::max(m_impl->newest, value.number);
    m_impl->applySection(value.operators, value.number, m_impl->operators);
    m_impl->applyAdapters(value.adapters, value.number);
    m_impl->applySection(value.services, value.number, m_impl->services);
    m_impl->applySection(value.groups, value.number, m_impl->groups);
    const auto live = m_impl->liveTickets.find(value.number);
    if (live != m_impl->liveTickets.end()) {
        live->second.text = value.text;
    }
    return true;
}

void state::markSeen(std::uint64_t after, std::uint64_t through)
{
    const std::unique_lock lock(m_impl->mutex);
    m_impl->seen.add(after + 1, through);
}

std::uint64_t state::newest() const
{
    const std::shared_lock lock(m_impl->mutex);
    return m_impl->newest;
}

std::uint64_t state::contiguous() const
{
    const std::shared_lock lock(m_impl->mutex);
    return m_impl->seen.contiguous();
}

text_page state::textsAfter(std::uint64_t number, std::size_t maxBytes) const
{
    const std::shared_lock lock(m_impl->mutex);
    text_page page;
    page.contiguous = m_impl->seen.contiguous();
    std::size_t bytes = 0;
    for (auto live = m_impl->liveTickets.upper_bound(number); live != m_impl->liveTickets.end(); ++live) {
        bytes += live->second.text.size();
        if (!page.texts.empty() && bytes > maxBytes) {
            page.complete = false;
            break;
        }
        page.texts.push_back(live->second.text);
    }
    return page;
}

std::shared_ptr<const operator_state> state::findOperator(std::string_view name) const
{
    const std::shared_lock lock(m_impl->mutex);
    return findValue(m_impl->operators, name);
}

std::shared_ptr<const adapter_state> state::findAdapter(std::string_view name) const
{
    const auto [operatorName, adapterName] = splitAdapterName(name);
    const std::shared_lock lock(m_impl->mutex);
    const auto found = m_impl->adapters.find(operatorName);
    return found != m_impl->adapters.end() ? findValue(found->second, adapterName) : nullptr;
}

std::shared_ptr<const service_state> state::findService(std::string_view name) const
{
    const std::shared_lock lock(m_impl->mutex);
    return findValue(m_impl->services, name);
}

std::shared_ptr<const group_state> state::findGroup(std::string_view name) const
{
    const std::shared_lock lock(m_impl->mutex);
    return findValue(m_impl->groups, name);
}

std::optional<std::string> state::authenticate(std::string_view bearerKey) const
{
    if (bearerKey.size() > maxBearerKeyLength) {
        return std::nullopt;
    }
    // Names and secrets may both contain dots, so each dot may be the one between them.
    for (auto dot = bearerKey.find('.'); dot != std::string_view::npos; dot = bearerKey.find('.', dot + 1)) {
        const auto name = bearerKey.substr(0, dot);
        const auto found = findOperator(name);
        if (found && detail::matchesKey(*found, bearerKey)) {
            return std::string(name);
        }
    }
    return std::nullopt;
}

std::vector<std::string> state::adaptersOf(std::string_view operatorName) const
{
    std::vector<std::string> names;
    const std::shared_lock lock(m_impl->mutex);
    const auto found = m_impl->adapters.find(operatorName);
    if (found == m_impl->adapters.end()) {
        return names;
    }
    names.reserve(found->second.size());
    for (const auto &[name, slot] : found->second) {
        if (slot.value) {
            names.push_back(found->first + "/" + name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::size_t state::adapterCount() const
{
    const std::shared_lock lock(m_impl->mutex);
    return m_impl->adapterCount;
}

} // namespace medlarrack::tickets
