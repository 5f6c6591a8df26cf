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

/// Transparent hash for lookup by string view without a copy.
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

/// The newest value of an object and its ticket number. A null value records a removal, so that an older ticket that
/// arrives late can't restore the object.
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

/// Splits "operator/name" at the first slash; without a slash the second part is empty.
std::pair<std::string_view, std::string_view> splitAdapterName(std::string_view name)
{
    const auto slash = std::min(name.find('/'), name.size());
    return {name.substr(0, slash), name.substr(std::min(slash + 1, name.size()))};
}

/// The text of a ticket and the number of objects for which it is the newest ticket.
struct stored_text
{
    std::string text;
    std::size_t objects = 0;
};

} // namespace

class state::impl
{
public:
    explicit impl(ticket_texts texts)
        : keepTexts(texts == ticket_texts::keep)
    {
    }

    const bool keepTexts;
    mutable std::shared_mutex mutex;
    object_table<operator_state> operators;
    /// By operator, then by adapter name without the operator.
    table<object_table<adapter_state>> adapters;
    object_table<service_state> services;
    object_table<group_state> groups;
    /// Texts of the tickets that are still the newest of some object, by number; empty when texts are dropped.
    std::map<std::uint64_t, stored_text> storedTexts;
    detail::number_set seen;
    std::uint64_t newest = 0;
    std::size_t adapterCount = 0;

    template<typename T>
    void applyChanges(const object_changes<T> &changes, std::uint64_t number, object_table<T> &objects)
    {
        for (const auto &[name, value] : changes) {
            replace(objects[name], value, number);
        }
    }

    void applyAdapters(const object_changes<adapter_state> &changes, std::uint64_t number)
    {
        for (const auto &[name, value] : changes) {
            const auto [operatorName, adapterName] = splitAdapterName(name);
            auto &entry = adapters[std::string(operatorName)][std::string(adapterName)];
            const bool existedBefore = entry.value != nullptr;
            replace(entry, value, number);
            const bool existsNow = entry.value != nullptr;
            adapterCount = adapterCount + (existsNow ? 1 : 0) - (existedBefore ? 1 : 0);
        }
    }

private:
    template<typename T>
    void replace(versioned<T> &entry, const std::shared_ptr<const T> &value, std::uint64_t number)
    {
        if (entry.ticket >= number) {
            return;
        }
        releaseText(entry.ticket);
        entry.ticket = number;
        entry.value = value;
        if (keepTexts) {
            ++storedTexts[number].objects;
        }
    }

    void releaseText(std::uint64_t number)
    {
        const auto found = storedTexts.find(number);
        if (found != storedTexts.end() && --found->second.objects == 0) {
            storedTexts.erase(found);
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
    m_impl->applyChanges(value.operators, value.number, m_impl->operators);
    m_impl->applyAdapters(value.adapters, value.number);
    m_impl->applyChanges(value.services, value.number, m_impl->services);
    m_impl->applyChanges(value.groups, value.number, m_impl->groups);
    const auto entry = m_impl->storedTexts.find(value.number);
    if (entry != m_impl->storedTexts.end()) {
        entry->second.text = value.text;
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
    for (auto entry = m_impl->storedTexts.upper_bound(number); entry != m_impl->storedTexts.end(); ++entry) {
        bytes += entry->second.text.size();
        if (!page.texts.empty() && bytes > maxBytes) {
            page.complete = false;
            break;
        }
        page.texts.push_back(entry->second.text);
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
    // Operator names and secrets may both contain dots, so try each dot as the separator.
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
    for (const auto &[name, entry] : found->second) {
        if (entry.value) {
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
