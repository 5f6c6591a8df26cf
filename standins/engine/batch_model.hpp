#pragma once

#include "generation.hpp"

#include <medlarrack/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace medlarrack::standins {

/// Counters since the start of the process.
struct batch_counters
{
    long long steps = 0;
    /// Sum of sequences over all steps.
    long long filled = 0;
    long long tokens = 0;
};

/// Continuous batching: each step gives one token to each of the first sequences by priority, then arrival, up to the
/// batch size. Finished generations are kept for a while for those who resume their stream.
class batch_model
{
public:
    explicit batch_model(std::size_t batchSize);

    /// Called when a generation runs for the first time.
    void onFirstRun(std::function<void(const generation &)> callback);

    /// False when the id is in use.
    bool add(std::shared_ptr<generation> added);
    /// A generation in progress or kept.
    [[nodiscard]] std::shared_ptr<generation> find(const std::string &id) const;
    /// Adds a sink that first gets the tokens from an index on.
    static void attach(generation &to, const std::shared_ptr<token_sink> &sink, int from);
    /// Ends a generation in progress; its sinks break off. Nothing when there is none.
    std::shared_ptr<generation> remove(const std::string &id);

    /// Whether any generation in progress uses the model.
    [[nodiscard]] bool uses(const std::string &model) const;
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] const batch_counters &counters() const;

    void step(core::monotonic_time now);

private:
    using order = std::pair<int, std::uint64_t>;

    void advance(generation &each);
    void keep(const std::shared_ptr<generation> &finished, core::monotonic_time now);
    void dropOld(core::monotonic_time now);

    std::size_t m_batchSize;
    std::function<void(const generation &)> m_firstRun;
    std::uint64_t m_arrivals = 0;
    std::map<order, std::shared_ptr<generation>> m_active;
    std::unordered_map<std::string, std::shared_ptr<generation>> m_byId;
    std::deque<std::pair<core::monotonic_time, std::shared_ptr<generation>>> m_kept;
    batch_counters m_counters;
};

} // namespace medlarrack::standins
