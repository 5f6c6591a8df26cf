#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace medlarrack::standins {

/// The end of an order: an HTTP status and a stable code, empty for success.
struct order_result
{
    int status = 200;
    std::string code = {};
};

/// Adapter slots of an engine.
class adapter_slots
{
public:
    using done_handler = std::function<void(const order_result &)>;

    explicit adapter_slots(std::size_t slots);

    /// Takes a slot. True when the caller is to load the weights and then call finishLoad(); otherwise the handler is
    /// called at once, or with the end of a load already under way.
    bool beginLoad(const std::string &name, done_handler done);
    void finishLoad(const std::string &name, const order_result &result);
    order_result unload(const std::string &name, bool inUse);
    /// Frees all slots; loads under way fail.
    void clear();

    [[nodiscard]] bool loaded(const std::string &name) const;
    [[nodiscard]] std::vector<std::string> names() const;

private:
    struct slot
    {
        bool loaded = false;
        std::vector<done_handler> waiting;
    };

    std::size_t m_slots;
    std::map<std::string, slot> m_used;
};

/// Refuses orders older than one already taken, when it is to check.
class fence_check
{
public:
    explicit fence_check(bool enabled);
    /// False for an order with an old fencing number.
    bool admit(long long fence);

private:
    bool m_enabled;
    long long m_newest = 0;
};

} // namespace medlarrack::standins
