#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace medlarrack::core {

/// Bytes of one message that a process holds for a peer. They are given back when the claim ends.
class byte_claim
{
public:
    byte_claim() = default;
    byte_claim(const byte_claim &) = delete;
    byte_claim &operator=(const byte_claim &) = delete;
    virtual ~byte_claim() = default;

    /// Sets the number of bytes held. Returns whether there is room for more; if not, the claim waits for it.
    virtual bool resize(std::size_t bytes) = 0;
    /// The message is complete and grows no more.
    virtual void settle() = 0;
};

/// A peer whose request or connection was ended because it or others are outside the limits.
struct turned_away_peer
{
    /// "no_memory", "no_connection" or "too_slow".
    std::string_view code;
    std::string_view why;
    std::string_view address;
    /// What was held for the peer.
    std::size_t bytes = 0;
};

/// The bytes that a process holds for all its peers. Thread-safe. Its claims must end before it.
class byte_budget
{
public:
    byte_budget() = default;
    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;
    virtual ~byte_budget() = default;

    /// Begins a claim under the peer's address. `onRoom` is called on any thread when there is room after resize() has
    /// returned false; it must neither end nor resize a claim.
    [[nodiscard]] virtual std::unique_ptr<byte_claim> claim(std::string_view address, std::function<void()> onRoom) = 0;
    /// Counts bytes that are held outside of claims, such as responses that wait to be taken; negative to give them
    /// back. They have no share.
    virtual void addUnclaimed(std::ptrdiff_t bytes) = 0;
    /// Whether more than the limit is held.
    [[nodiscard]] virtual bool isFull() const = 0;
    /// Whether so much is held that new requests must be rejected.
    [[nodiscard]] virtual bool isOverfull() const = 0;
    /// Reports that a peer was turned away.
    virtual void recordTurnedAway(const turned_away_peer &peer) = 0;
};

} // namespace medlarrack::core
