#pragma once

#include <medlarrack/core/clock.hpp>

#include <map>
#include <mutex>
#include <string>

namespace medlarrack::load {

/// Idempotency keys by label: a key is made when its label is first used, so that it carries the time of its first
/// sending. Thread-safe.
class key_table
{
public:
    explicit key_table(const core::clock &clock);

    /// Empty for an empty label.
    [[nodiscard]] std::string keyFor(const std::string &label);

private:
    const core::clock &m_clock;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_keys;
};

} // namespace medlarrack::load
