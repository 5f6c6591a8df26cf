#include <medlarrack/overload/byte_account.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <string>
#include <utility>

namespace medlarrack::overload {

class byte_account::impl
{
public:
    using holding_list = std::list<byte_holding::impl *>;

    struct holder
    {
        std::size_t bytes = 0;
        std::size_t holdings = 0;
        holding_list growing;
    };
    using holder_map = std::map<std::string, holder, std::less<>>;

    /// Room that the first holding of the list may still need, unless it is the one that asks.
    [[nodiscard]] std::size_t reserveFor(const holding_list &holdings, const byte_holding::impl &asking) const;
    [[nodiscard]] bool fitsShare(const byte_holding::impl &asking, std::size_t wanted) const;
    /// Whether one more step fits beside those that were promised to others.
    [[nodiscard]] bool hasRoom(const byte_holding::impl &asking, std::size_t promised = 0) const;
    /// Calls the holdings that wait and have room now.
    void wake();
    void remove(const byte_holding::impl &grown);

    std::size_t limit = 0;
    std::size_t maxHolding = 0;
    std::size_t step = 0;
    /// Includes those without a holder.
    std::size_t heldBytes = 0;
    std::size_t unsharedBytes = 0;
    holder_map holders;
    /// In the order in which they began, as in each holder.
    holding_list growing;
    /// In the order in which they began to wait.
    holding_list waiting;
};

class byte_holding::impl
{
public:
    impl(byte_account::impl &countedIn, byte_account::impl::holder_map::iterator owner, std::function<void()> callback)
        : account(countedIn)
        , holder(owner)
        , onRoom(std::move(callback))
    {
    }

    byte_account::impl &account;
    byte_account::impl::holder_map::iterator holder;
    std::function<void()> onRoom;
    std::size_t bytes = 0;
    byte_account::impl::holding_list::iterator inAccount{};
    byte_account::impl::holding_list::iterator inHolder{};
    bool isGrowing = true;
    bool isWaiting = false;
};

std::size_t byte_account::impl::reserveFor(const holding_list &list, const byte_holding::impl &asking) const
{
    if (list.empty() || list.front() == &asking) {
        return 0;
    }
    return maxHolding - std::min(maxHolding, list.front()->bytes);
}

bool byte_account::impl::fitsShare(const byte_holding::impl &asking, std::size_t wanted) const
{
    const holder &owner = asking.holder->second;
    const std::size_t used = heldBytes + reserveFor(growing, asking);
    const std::size_t share = used < limit ? (limit - used) / 2 : 0;
    return owner.bytes + reserveFor(owner.growing, asking) + wanted <= share;
}

bool byte_account::impl::hasRoom(const byte_holding::impl &asking, std::size_t promised) const
{
    return growing.front() == &asking || fitsShare(asking, promised + step);
}

void byte_account::impl::wake()
{
    std::size_t promised = 0;
    for (auto next = waiting.begin(); next != waiting.end();) {
        byte_holding::impl &asking = **next;
        if (!hasRoom(asking, promised)) {
            ++next;
            continue;
        }
        next = waiting.erase(next);
        asking.isWaiting = false;
        promised += step;
        asking.onRoom();
    }
}

void byte_account::impl::remove(const byte_holding::impl &grown)
{
    growing.erase(grown.inAccount);
    grown.holder->second.growing.erase(grown.inHolder);
}

byte_account::byte_account(std::size_t limit, std::size_t maxHolding, std::size_t step)
    : m_impl(std::make_unique<impl>())
{
    m_impl->limit = limit;
    m_impl->maxHolding = maxHolding;
    m_impl->step = step;
}

byte_account::~byte_account() = default;

std::unique_ptr<byte_holding> byte_account::hold(std::string_view holder, std::function<void()> onRoom)
{
    auto found = m_impl->holders.find(holder);
    if (found == m_impl->holders.end()) {
        found = m_impl->holders.emplace(std::string(holder), impl::holder()).first;
    }
    auto made = std::make_unique<byte_holding::impl>(*m_impl, found, std::move(onRoom));
    made->inAccount = m_impl->growing.insert(m_impl->growing.end(), made.get());
    made->inHolder = found->second.growing.insert(found->second.growing.end(), made.get());
    ++found->second.holdings;
    return std::unique_ptr<byte_holding>(new byte_holding(std::move(made)));
}

void byte_account::setLimits(std::size_t limit, std::size_t maxHolding)
{
    m_impl->limit = limit;
    m_impl->maxHolding = maxHolding;
    m_impl->wake();
}

void byte_account::setUnshared(std::size_t bytes)
{
    const std::size_t before = std::exchange(m_impl->unsharedBytes, bytes);
    m_impl->heldBytes += bytes - before;
    if (bytes < before) {
        m_impl->wake();
    }
}

bool byte_account::isOverfull() const
{
    constexpr std::size_t toleranceDivisor = 4;
    return m_impl->heldBytes > m_impl->limit + m_impl->limit / toleranceDivisor;
}

std::size_t byte_account::limit() const
{
    return m_impl->limit;
}

std::size_t byte_account::heldBytes() const
{
    return m_impl->heldBytes;
}

std::size_t byte_account::waiting() const
{
    return m_impl->waiting.size();
}

std::vector<holder_use> byte_account::holders() const
{
    std::vector<holder_use> all;
    all.reserve(m_impl->holders.size());
    for (const auto &[name, use] : m_impl->holders) {
        all.push_back({name, use.bytes, use.holdings});
    }
    return all;
}

byte_holding::byte_holding(std::unique_ptr<impl> made)
    : m_impl(std::move(made))
{
}

byte_holding::~byte_holding()
{
    byte_account::impl &account = m_impl->account;
    account.heldBytes -= m_impl->bytes;
    m_impl->holder->second.bytes -= m_impl->bytes;
    if (m_impl->isWaiting) {
        account.waiting.remove(m_impl.get());
    }
    if (m_impl->isGrowing) {
        account.remove(*m_impl);
    }
    if (--m_impl->holder->second.holdings == 0) {
        account.holders.erase(m_impl->holder);
    }
    account.wake();
}

bool byte_holding::resize(std::size_t bytes)
{
    byte_account::impl &account = m_impl->account;
    const std::size_t before = std::exchange(m_impl->bytes, bytes);
    account.heldBytes += bytes - before;
    m_impl->holder->second.bytes += bytes - before;
    if (bytes < before) {
        account.wake();
    }
    if (!m_impl->isWaiting && !account.hasRoom(*m_impl)) {
        m_impl->isWaiting = true;
        account.waiting.push_back(m_impl.get());
    }
    return !m_impl->isWaiting;
}

bool byte_holding::settle()
{
    byte_account::impl &account = m_impl->account;
    if (std::exchange(m_impl->isGrowing, false)) {
        account.remove(*m_impl);
    }
    if (std::exchange(m_impl->isWaiting, false)) {
        account.waiting.remove(m_impl.get());
    }
    const bool fits = account.fitsShare(*m_impl, 0);
    account.wake();
    return fits;
}

} // namespace medlarrack::overload
