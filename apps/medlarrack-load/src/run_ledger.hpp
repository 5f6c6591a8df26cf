#pragma once

#include "request_result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::load {

/// Runs counted per idempotency key.
using run_counts = std::map<std::string, std::uint64_t>;

/// A promise that one request's answer or runs show as broken.
struct broken_promise
{
    /// Stable code, for example "ran_twice".
    std::string code;
    std::string detail;
};

/// What callers were told of each idempotency key, for comparison with what ran.
class run_ledger
{
public:
    void add(const request_result &result);
    /// Adds counts of one service to others.
    static void merge(run_counts &into, const run_counts &counts);
    /// Compares with the runs counted: no key above one; one where an answer says "ran"; none where every answer says
    /// "not run".
    [[nodiscard]] std::vector<broken_promise> check(const run_counts &runs) const;
    [[nodiscard]] std::size_t keys() const;

private:
    struct told
    {
        bool ran = false;
        bool unknown = false;
        std::string requestIds;
    };

    std::map<std::string, told> m_told;
};

/// Reads the body of a service stand-in's GET /_runs; nothing when it isn't in that form.
[[nodiscard]] std::optional<run_counts> parseRuns(std::string_view body);

} // namespace medlarrack::load
