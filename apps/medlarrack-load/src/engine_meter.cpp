#include "engine_meter.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::load {

double batch_use::efficiency() const
{
    return places == 0 ? 0 : static_cast<double>(filled) / static_cast<double>(places);
}

std::optional<engine_counters> parseCounters(std::string_view body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    bool complete = true;
    const auto number = [&](const char *name) -> std::uint64_t {
        const auto found = parsed.find(name);
        if (found == parsed.end() || !found->is_number_unsigned()) {
            complete = false;
            return 0;
        }
        return found->get<std::uint64_t>();
    };
    const engine_counters counters{number("started_ms"), number("batch_size"), number("steps"), number("filled"),
                                   number("tokens")};
    return complete ? std::optional(counters) : std::nullopt;
}

void addUse(batch_use &into, const engine_counters &before, const engine_counters &after)
{
    const bool restarted = before.startedMs != after.startedMs || after.steps < before.steps;
    const engine_counters from = restarted ? engine_counters{} : before;
    into.places += (after.steps - from.steps) * after.batchSize;
    into.filled += after.filled - from.filled;
    into.tokens += after.tokens - from.tokens;
}

} // namespace medlarrack::load
