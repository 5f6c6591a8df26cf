#pragma once

#include <medlarrack/core/byte_budget.hpp>
#include <medlarrack/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace medlarrack::overload {

/// A byte_account for the threads of a process. Reports of peers that were turned away are passed on at a limited rate.
class shared_byte_account final : public core::byte_budget
{
public:
    /// `heldBytes` is what the process holds for all peers, `unreported` the number of peers since the last report.
    using report_handler =
        std::function<void(const core::turned_away_peer &peer, std::size_t heldBytes, std::uint64_t unreported)>;

    /// A claim grows to at most `maxClaim` bytes, in steps of at most `step`.
    shared_byte_account(std::size_t limit, std::size_t maxClaim, std::size_t step, const core::clock &clock,
                        report_handler onReport);
    ~shared_byte_account() override;

    [[nodiscard]] std::unique_ptr<core::byte_claim> claim(std::string_view address,
                                                          std::function<void()> onRoom) override;
    void addUnclaimed(std::ptrdiff_t bytes) override;
    [[nodiscard]] bool isFull() const override;
    [[nodiscard]] bool isOverfull() const override;
    void recordTurnedAway(const core::turned_away_peer &peer) override;

    [[nodiscard]] std::size_t heldBytes() const;
    /// Peers turned away since the start.
    [[nodiscard]] std::uint64_t turnedAway() const;

private:
    class impl;
    class shared_claim;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::overload
