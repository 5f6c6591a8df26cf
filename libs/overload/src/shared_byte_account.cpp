#include <medlarrack/overload/byte_account.hpp>
#include <medlarrack/overload/log_rate.hpp>
#include <medlarrack/overload/shared_byte_account.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace medlarrack::overload {

namespace {

constexpr double reportsPerSecond = 1;
constexpr double reportBurst = 5;
constexpr std::size_t toleranceDivisor = 4;

} // namespace

/// The mutex is taken last. Bytes outside of claims are counted without it, and take room from claims at their next
/// change.
class shared_byte_account::impl
{
public:
    impl(std::size_t limit, std::size_t maxClaim, std::size_t step, const core::clock &time, report_handler handler)
        : maxHeld(limit)
        , account(limit, maxClaim, step)
        , clock(time)
        , reportRate(reportsPerSecond, reportBurst, time.now())
        , onReport(std::move(handler))
    {
    }

    /// Called with the mutex held.
    void countUnclaimed()
    {
        account.setUnshared(static_cast<std::size_t>(std::max<std::ptrdiff_t>(unclaimed, 0)));
    }

    [[nodiscard]] std::size_t held() const
    {
        return static_cast<std::size_t>(std::max<std::ptrdiff_t>(claimed + unclaimed, 0));
    }

    const std::size_t maxHeld;
    std::mutex mutex;
    byte_account account;
    std::atomic<std::ptrdiff_t> claimed{0};
    std::atomic<std::ptrdiff_t> unclaimed{0};
    /// Whether claims wait for room that bytes outside of claims may give back.
    std::atomic<bool> hasWaiting{false};
    const core::clock &clock;
    log_rate reportRate;
    const report_handler onReport;
    std::atomic<std::uint64_t> turnedAway{0};
};

class shared_byte_account::shared_claim final : public core::byte_claim
{
public:
    shared_claim(std::shared_ptr<impl> account, std::string_view address, std::function<void()> onRoom)
        : m_account(std::move(account))
    {
        const std::lock_guard lock(m_account->mutex);
        m_holding = m_account->account.hold(address, std::move(onRoom));
    }

    ~shared_claim() override
    {
        const std::lock_guard lock(m_account->mutex);
        m_account->claimed -= static_cast<std::ptrdiff_t>(m_bytes);
        m_account->countUnclaimed();
        m_holding.reset();
    }

    bool resize(std::size_t bytes) override
    {
        const std::lock_guard lock(m_account->mutex);
        m_account->claimed += static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(m_bytes);
        m_bytes = bytes;
        m_account->countUnclaimed();
        const bool hasRoom = m_holding->resize(bytes);
        m_account->hasWaiting = m_account->account.waiting() > 0;
        return hasRoom;
    }

    void settle() override
    {
        const std::lock_guard lock(m_account->mutex);
        static_cast<void>(m_holding->settle());
    }

private:
    std::shared_ptr<impl> m_account;
    std::unique_ptr<byte_holding> m_holding;
    std::size_t m_bytes = 0;
};

shared_byte_account::shared_byte_account(std::size_t limit, std::size_t maxClaim, std::size_t step,
                                         const core::clock &clock, report_handler onReport)
    : m_impl(std::make_shared<impl>(limit, maxClaim, step, clock, std::move(onReport)))
{
}

shared_byte_account::~shared_byte_account() = default;

std::unique_ptr<core::byte_claim> shared_byte_account::claim(std::string_view address, std::function<void()> onRoom)
{
    return std::make_unique<shared_claim>(m_impl, address, std::move(onRoom));
}

void shared_byte_account::addUnclaimed(std::ptrdiff_t bytes)
{
    m_impl->unclaimed += bytes;
    if (bytes < 0 && m_impl->hasWaiting) {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->countUnclaimed();
        m_impl->hasWaiting = m_impl->account.waiting() > 0;
    }
}

bool shared_byte_account::isFull() const
{
    return m_impl->held() > m_impl->maxHeld;
}

bool shared_byte_account::isOverfull() const
{
    return m_impl->held() > m_impl->maxHeld + m_impl->maxHeld / toleranceDivisor;
}

void shared_byte_account::recordTurnedAway(const core::turned_away_peer &peer)
{
    ++m_impl->turnedAway;
    std::optional<std::uint64_t> unreported;
    {
        const std::lock_guard lock(m_impl->mutex);
        unreported = m_impl->reportRate.tryWrite(m_impl->clock.now());
    }
    if (unreported && m_impl->onReport) {
        m_impl->onReport(peer, heldBytes(), *unreported);
    }
}

std::size_t shared_byte_account::heldBytes() const
{
    return m_impl->held();
}

std::uint64_t shared_byte_account::turnedAway() const
{
    return m_impl->turnedAway;
}

} // namespace medlarrack::overload
