#pragma once

#include "distribution.hpp"
#include "engine_meter.hpp"
#include "request_result.hpp"
#include "run_ledger.hpp"

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace medlarrack::load {

/// Figures of one class of requests.
struct class_summary
{
    std::array<std::uint64_t, allResultKinds.size()> results{};
    /// Of answers that are right, late ones included.
    distribution latency;
    distribution firstToken;
    distribution loadStall;
    std::uint64_t tokens = 0;

    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t of(result_kind kind) const;
};

/// Everything that a run showed.
class summary
{
public:
    explicit summary(bool allowCutOff);

    void add(const request_result &result);
    void addBroken(std::vector<broken_promise> broken);
    /// Service calls are kept apart from the classes of completions, under "service".
    [[nodiscard]] const std::map<std::string, class_summary> &classes() const;
    /// Answers by error or failure code.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &codes() const;
    [[nodiscard]] const std::vector<broken_promise> &broken() const;
    [[nodiscard]] const run_ledger &ledger() const;
    [[nodiscard]] std::uint64_t answered() const;

    std::chrono::milliseconds duration{0};
    std::uint64_t seed = 0;
    batch_use batches;
    std::size_t enginesMeasured = 0;
    /// Runs were compared with what callers were told.
    bool runsChecked = false;

private:
    void judge(const request_result &result);

    bool m_allowCutOff;
    std::map<std::string, class_summary> m_classes;
    std::map<std::string, std::uint64_t> m_codes;
    std::vector<broken_promise> m_broken;
    run_ledger m_ledger;
};

} // namespace medlarrack::load
