#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace medlarrack::overload {

class byte_holding;

/// What is kept for one holder.
struct holder_use
{
    /// Valid until the account changes.
    std::string_view holder;
    std::size_t bytes = 0;
    std::size_t holdings = 0;
};

/// Counts the bytes that a process keeps for others and says who may send on. Each holder, such as a replica, may hold
/// half as much as is left free, so that one that floods waits first and others find room. The oldest holding always
/// may grow to its greatest size: the room for it is kept free, so that holdings never wait for each other in a circle.
/// The same room is kept within each holder's share. Not thread-safe.
class byte_account
{
public:
    /// A holding grows to at most `maxHolding` bytes, in steps of at most `step`. What has been received can't be
    /// refused, so each holding may exceed the limit by one step.
    byte_account(std::size_t limit, std::size_t maxHolding, std::size_t step);
    ~byte_account();
    byte_account(const byte_account &) = delete;
    byte_account &operator=(const byte_account &) = delete;

    /// Begins an empty holding. `onRoom` is called when there is room for a step after resize() has returned false; it
    /// must neither end nor resize a holding. Holdings must end before the account.
    [[nodiscard]] std::unique_ptr<byte_holding> hold(std::string_view holder, std::function<void()> onRoom);
    void setLimits(std::size_t limit, std::size_t maxHolding);
    /// Sets the number of bytes that are kept outside of holdings, such as the many small ones of connections. They
    /// take room from the holdings and have no share.
    void setUnshared(std::size_t bytes);

    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] std::size_t heldBytes() const;
    /// Whether more is held than the limit and the steps by which holdings may exceed it.
    [[nodiscard]] bool isOverfull() const;
    /// Holdings that wait for room.
    [[nodiscard]] std::size_t waiting() const;
    /// All holders by name, without the bytes that have none.
    [[nodiscard]] std::vector<holder_use> holders() const;

private:
    friend class byte_holding;
    class impl;
    std::unique_ptr<impl> m_impl;
};

/// Bytes of one message. They are given back when the holding ends.
class byte_holding
{
public:
    ~byte_holding();
    byte_holding(const byte_holding &) = delete;
    byte_holding &operator=(const byte_holding &) = delete;

    /// Sets the number of bytes held. Returns whether there is room for one step more; if not, the holding waits until
    /// it is told of room.
    bool resize(std::size_t bytes);
    /// The holding is complete and grows no more. Returns whether the holder's share has room to keep it for later.
    bool settle();

private:
    friend class byte_account;
    class impl;
    explicit byte_holding(std::unique_ptr<impl> made);
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::overload
