#include "run_ledger.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::load {

void run_ledger::add(const request_result &result)
{
    if (result.key.empty()) {
        return;
    }
    told &entry = m_told[result.key];
    entry.ran = entry.ran || result.outcome == core::outcome::ran;
    entry.unknown = entry.unknown || result.outcome == core::outcome::unknown;
    if (!result.requestId.empty()) {
        entry.requestIds += " " + result.requestId;
    }
}

void run_ledger::merge(run_counts &into, const run_counts &counts)
{
    for (const auto &[key, count] : counts) {
        into[key] += count;
    }
}

std::vector<broken_promise> run_ledger::check(const run_counts &runs) const
{
    std::vector<broken_promise> broken;
    for (const auto &[key, entry] : m_told) {
        const auto found = runs.find(key);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        const std::string detail =
            "key " + key + " ran " + std::to_string(count) + " times; requests" + entry.requestIds;
        if (count > 1) {
            broken.push_back({"ran_twice", detail});
        } else if (entry.ran && count == 0) {
            broken.push_back({"false_ran", detail});
        } else if (!entry.ran && !entry.unknown && count > 0) {
            broken.push_back({"false_not_run", detail});
        }
    }
    return broken;
}

std::size_t run_ledger::keys() const
{
    return m_told.size();
}

std::optional<run_counts> parseRuns(std::string_view body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    run_counts counts;
    for (const auto &[key, count] : parsed.items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        counts[key] = count.get<std::uint64_t>();
    }
    return counts;
}

} // namespace medlarrack::load
