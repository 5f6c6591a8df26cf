#include <medlarrack/http1/byte_stream.hpp>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/ioctl.h>
#include <utility>

namespace medlarrack::http1 {

namespace {

/// Written bytes that stay unacknowledged this long end the connection: a peer without power or behind a partition
/// answers nothing. Below the time after which callers abandon a stream (2 s).
constexpr std::chrono::milliseconds unacknowledgedLimit{1'500};
constexpr std::chrono::milliseconds acknowledgementCheckInterval{250};
/// How long a finished connection stays open after the last byte of the peer, so that a late byte doesn't reset it
/// before the peer has read our last bytes.
constexpr std::chrono::milliseconds lingerTime{1'000};
/// The same in total. The rest of a refused body takes some seconds on a slow link.
constexpr std::chrono::milliseconds maxLingerTime{15'000};
/// How often a connection that is to be reset checks that its peer has what was written before.
constexpr std::chrono::milliseconds resetCheckInterval{10};

std::array<char, byte_stream::readBytes> &scratch()
{
    static std::array<char, byte_stream::readBytes> buffer;
    return buffer;
}

} // namespace

class byte_stream::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, asio::ip::tcp::socket opened)
        : socket(std::move(opened))
        , timer(context)
        , watchTimer(context)
    {
        if (socket.is_open()) {
            connected = true;
            prepare();
        }
    }

    void prepare()
    {
        std::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        limitUnacknowledged(unreadLimit);
    }

    void setUnreadLimit(std::chrono::milliseconds limit)
    {
        limit = std::max(limit, unacknowledgedLimit);
        if (limit != unreadLimit) {
            unreadLimit = limit;
            limitUnacknowledged(limit);
        }
    }

    /// The system counts also what the peer has acknowledged to have no room for.
    void limitUnacknowledged(std::chrono::milliseconds limit)
    {
        std::error_code ignored;
        using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        socket.set_option(user_timeout(static_cast<int>(limit.count())), ignored);
    }

    /// Checks that the peer acknowledges what is on its way, if the system's own limit is longer.
    void watchAcknowledgements()
    {
        if (unreadLimit <= unacknowledgedLimit || watching) {
            return;
        }
        watching = true;
        lastHeardAt = asio::steady_timer::clock_type::now();
        checkAcknowledgements();
    }

    void checkAcknowledgements()
    {
        watchTimer.expires_after(acknowledgementCheckInterval);
        watchTimer.async_wait([self = shared_from_this()](const std::error_code &waited) {
            if (waited || !self->socket.is_open()) {
                return;
            }
            if (!self->awaitsAcknowledgement()) {
                self->watching = false;
            } else if (self->isPeerSilent()) {
                self->giveUp("not acknowledged in time");
            } else {
                self->checkAcknowledgements();
            }
        });
    }

    [[nodiscard]] bool awaitsAcknowledgement()
    {
        int unacknowledged = 0;
        return !pending.empty()
            || (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0);
    }

    [[nodiscard]] bool isPeerSilent()
    {
        tcp_info info{};
        socklen_t size = sizeof(info);
        if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
            return false;
        }
        const auto now = asio::steady_timer::clock_type::now();
        // Both are 0 while the peer answers, also if it answers that it has no room.
        if (info.tcpi_retransmits == 0 && info.tcpi_probes == 0) {
            lastHeardAt = now;
        }
        return now - lastHeardAt >= unacknowledgedLimit
            && std::chrono::milliseconds(info.tcpi_last_ack_recv) >= unacknowledgedLimit;
    }

    void connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit)
    {
        std::error_code error;
        socket.open(to.protocol(), error);
        if (error) {
            asio::post(socket.get_executor(), [self = shared_from_this(), text = error.message()] {
                self->lose("no socket: " + text);
            });
            return;
        }
        prepare();
        timer.expires_after(limit);
        timer.async_wait([self = shared_from_this()](const std::error_code &waited) {
            if (!waited && !self->connected) {
                self->lose("not connected in time");
            }
        });
        socket.async_connect(to, [self = shared_from_this()](const std::error_code &failed) {
            if (!self->socket.is_open()) {
                return;
            }
            self->timer.cancel();
            if (failed) {
                self->lose("not connected: " + failed.message());
                return;
            }
            self->connected = true;
            if (self->listener != nullptr) {
                self->listener->onConnected();
            }
            self->flush();
            self->awaitBytes();
        });
    }

    void awaitBytes()
    {
        if ((!wantsBytes && !lingering) || awaiting || !connected || ended || !socket.is_open()) {
            return;
        }
        awaiting = true;
        socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const std::error_code &error) {
            self->awaiting = false;
            if (error || !self->socket.is_open() || self->lossPosted) {
                return;
            }
            if (self->wantsBytes) {
                self->readSome();
            } else if (self->lingering && !self->aborting && !self->hasUnreadBytes()) {
                // Readable without bytes: the peer has closed too.
                self->close();
            }
        });
    }

    void readSome()
    {
        std::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(scratch()), error);
        if (error == asio::error::would_block) {
            awaitBytes();
            return;
        }
        if (error == asio::error::eof) {
            ended = true;
            if (lingering) {
                close();
            } else if (!writeFailure.empty()) {
                lose(writeFailure);
            } else if (hasFailed()) {
                // The end of the peer's side came before the reset, or a failed write has consumed the reset's error.
                lose("reset by the peer");
            } else if (listener != nullptr) {
                listener->onPeerEnd();
            }
            return;
        }
        if (error) {
            timedOut = timedOut || error == asio::error::timed_out;
            lose((timedOut ? "given up: " : "reset by the peer: ") + error.message());
            return;
        }
        if (listener != nullptr) {
            listener->onBytes({scratch().data(), size});
        } else {
            reportDropped({scratch().data(), size});
            if (isShutDown) {
                closeAfterLinger();
            }
        }
        awaitBytes();
    }

    void write(std::string_view bytes)
    {
        if (!socket.is_open() || lingering || !writeFailure.empty()) {
            return;
        }
        watchAcknowledgements();
        if (connected && pending.empty()) {
            std::error_code error;
            const std::size_t size = socket.write_some(asio::buffer(bytes), error);
            if (error && error != asio::error::would_block) {
                failWrite(error);
                return;
            }
            sentBytes += error ? 0 : size;
            bytes.remove_prefix(error ? 0 : size);
            if (bytes.empty()) {
                return;
            }
        }
        pending.append(bytes);
        awaitRoom();
    }

    void awaitRoom()
    {
        if (!connected || awaitingRoom || pending.empty()) {
            return;
        }
        awaitingRoom = true;
        socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const std::error_code &error) {
            self->awaitingRoom = false;
            if (!error && self->socket.is_open()) {
                self->flush();
            }
        });
    }

    void flush()
    {
        if (!connected || !socket.is_open() || lossPosted) {
            return;
        }
        if (!pending.empty()) {
            std::error_code error;
            const std::size_t size = socket.write_some(asio::buffer(pending), error);
            if (error && error != asio::error::would_block) {
                failWrite(error);
                return;
            }
            if (!error) {
                sentBytes += size;
                pending.erase(0, size);
            }
            if (!pending.empty()) {
                awaitRoom();
                return;
            }
            // An empty string keeps its memory as long as the connection lives.
            std::exchange(pending, {});
        }
        if (aborting) {
            return;
        }
        if (lingering) {
            shutdownOurSide();
        } else if (listener != nullptr) {
            listener->onWritten();
        }
    }

    void failWrite(const std::error_code &error)
    {
        timedOut = error == asio::error::timed_out;
        writeFailure = "not written: " + error.message();
        std::exchange(pending, {});
        // A connection that has failed gets no more bytes, so that the end behind those that came is seen.
        if (readsPastFailedWrites && !lingering && !ended && hasFailed()) {
            awaitBytes();
            return;
        }
        postLoss(writeFailure);
    }

    void fail(std::string why)
    {
        if (!socket.is_open() || lingering || lossPosted) {
            return;
        }
        std::exchange(pending, {});
        writeFailure = why;
        postLoss(std::move(why));
    }

    /// Reports the loss after the caller has returned: write() is called from within listeners.
    void postLoss(std::string why)
    {
        lossPosted = true;
        asio::post(socket.get_executor(), [self = shared_from_this(), why = std::move(why)] {
            self->lose(why);
        });
    }

    void lose(const std::string &why)
    {
        if (!socket.is_open() && !connected && listener == nullptr) {
            return;
        }
        byte_stream_listener *last = listener;
        close();
        if (last != nullptr) {
            last->onLost(why);
        }
    }

    /// The peer doesn't answer. Should it come back, an end in order could be taken for that of a whole response.
    void giveUp(const std::string &why)
    {
        timedOut = true;
        pending.clear();
        byte_stream_listener *last = listener;
        abort();
        if (last != nullptr) {
            last->onLost(why);
        }
    }

    [[nodiscard]] bool hasUnreadBytes() const
    {
        std::error_code error;
        return socket.is_open() && socket.available(error) > 0 && !error;
    }

    [[nodiscard]] bool hasUnreadInput()
    {
        pollfd polled{socket.native_handle(), POLLIN, 0};
        return socket.is_open() && ::poll(&polled, 1, 0) > 0;
    }

    [[nodiscard]] bool hasPeerEnded()
    {
        if (ended || !socket.is_open()) {
            return true;
        }
        pollfd polled{socket.native_handle(), POLLRDHUP, 0};
        return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    void finish(bool readsOn)
    {
        listener = nullptr;
        if (!socket.is_open()) {
            return;
        }
        lingering = true;
        wantsBytes = readsOn;
        if (pending.empty()) {
            shutdownOurSide();
        } else {
            awaitBytes();
        }
    }

    void shutdownOurSide()
    {
        std::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (ended) {
            close();
            return;
        }
        isShutDown = true;
        lingerEnd = asio::steady_timer::clock_type::now() + maxLingerTime;
        closeAfterLinger();
        awaitBytes();
    }

    void closeAfterLinger()
    {
        timer.expires_at(std::min(asio::steady_timer::clock_type::now() + lingerTime, lingerEnd));
        timer.async_wait([self = shared_from_this()](const std::error_code &waited) {
            // Both can be ready at once if the process stood still: the end of the wait and bytes that came before it.
            const auto now = asio::steady_timer::clock_type::now();
            if (waited || self->timer.expiry() > now) {
                return;
            }
            const bool hasDropped = self->wantsBytes && self->dropUnread();
            // A close over unread bytes, or bytes that come after it, would reset what is still on its way.
            if ((hasDropped || self->awaitsAcknowledgement()) && now < self->lingerEnd) {
                self->closeAfterLinger();
            } else {
                self->close();
            }
        });
    }

    /// Returns whether there was anything to drop.
    bool dropUnread()
    {
        std::error_code error;
        const std::size_t unread = socket.available(error);
        for (std::size_t dropped = 0; !error && dropped < unread;) {
            const std::size_t size = socket.read_some(asio::buffer(scratch()), error);
            reportDropped({scratch().data(), size});
            dropped += size;
        }
        return unread > 0;
    }

    void reportDropped(std::string_view bytes)
    {
        if (lateBytes != nullptr && !bytes.empty()) {
            lateBytes->onDropped(bytes);
        }
    }

    void reportUnread()
    {
        const auto observer = std::exchange(lateBytes, nullptr);
        if (observer == nullptr) {
            return;
        }
        // Not the shared buffer: the bytes of another stream in it may be in use while this one is closed.
        std::array<char, readBytes> peeked;
        std::size_t size = 0;
        if (hasUnreadBytes()) {
            std::error_code error;
            size = socket.receive(asio::buffer(peeked), asio::socket_base::message_peek, error);
        }
        observer->onClosed({peeked.data(), size});
    }

    void close()
    {
        listener = nullptr;
        reportUnread();
        std::error_code ignored;
        timer.cancel();
        watchTimer.cancel();
        socket.close(ignored);
    }

    /// A reset overtakes what is on its way, such as an earlier answer, so it waits for the acknowledgement.
    void abort()
    {
        listener = nullptr;
        if (!socket.is_open()) {
            close();
            return;
        }
        std::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        lingering = true;
        aborting = true;
        wantsBytes = false;
        lingerEnd = asio::steady_timer::clock_type::now() + maxLingerTime;
        resetOnceAcknowledged();
    }

    void abortUnsent()
    {
        std::exchange(pending, {});
        std::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void resetOnceAcknowledged()
    {
        const auto now = asio::steady_timer::clock_type::now();
        if (!connected || now >= lingerEnd || hasFailed() || !awaitsAcknowledgement()) {
            close();
            return;
        }
        timer.expires_after(resetCheckInterval);
        timer.async_wait([self = shared_from_this()](const std::error_code &waited) {
            if (!waited && self->socket.is_open()) {
                self->resetOnceAcknowledged();
            }
        });
    }

    /// The peer has reset the connection, or the system has given it up.
    [[nodiscard]] bool hasFailed()
    {
        pollfd polled{socket.native_handle(), 0, 0};
        return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLHUP | POLLERR)) != 0;
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::steady_timer watchTimer;
    /// Whether acknowledgements are checked; then, when the peer was last known to answer.
    bool watching = false;
    asio::steady_timer::time_point lastHeardAt{};
    std::chrono::milliseconds unreadLimit = unacknowledgedLimit;
    byte_stream_listener *listener = nullptr;
    std::unique_ptr<late_bytes_observer> lateBytes;
    std::string pending;
    std::size_t sentBytes = 0;
    /// Why a write failed; empty while none has. Nothing is written after that.
    std::string writeFailure;
    /// The listener gets the bytes that came before a failed write.
    bool readsPastFailedWrites = false;
    /// The loss is about to be reported; nothing is read meanwhile.
    bool lossPosted = false;
    bool connected = false;
    bool wantsBytes = false;
    bool awaiting = false;
    bool awaitingRoom = false;
    bool ended = false;
    bool timedOut = false;
    bool lingering = false;
    /// The lingering connection ends with a reset.
    bool aborting = false;
    /// Our side of the lingering connection has ended.
    bool isShutDown = false;
    asio::steady_timer::time_point lingerEnd{};
};

byte_stream::byte_stream(asio::io_context &context)
    : byte_stream(context, asio::ip::tcp::socket(context))
{
}

byte_stream::byte_stream(asio::io_context &context, asio::ip::tcp::socket socket)
    : m_impl(std::make_shared<impl>(context, std::move(socket)))
{
}

byte_stream::~byte_stream()
{
    // A finished or aborted stream lives on until the peer has its last bytes.
    if (!m_impl->lingering) {
        m_impl->close();
    }
}

void byte_stream::setListener(byte_stream_listener *listener)
{
    m_impl->listener = listener;
}

void byte_stream::connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit)
{
    m_impl->connect(to, limit);
}

void byte_stream::startReading()
{
    m_impl->wantsBytes = true;
    m_impl->awaitBytes();
}

void byte_stream::stopReading()
{
    m_impl->wantsBytes = false;
}

void byte_stream::write(std::string_view bytes)
{
    m_impl->write(bytes);
}

void byte_stream::fail(std::string why)
{
    m_impl->fail(std::move(why));
}

void byte_stream::readPastFailedWrites()
{
    m_impl->readsPastFailedWrites = true;
}

std::size_t byte_stream::queued() const
{
    return m_impl->pending.size();
}

std::size_t byte_stream::sent() const
{
    return m_impl->sentBytes;
}

bool byte_stream::hasUnacknowledgedBytes() const
{
    return m_impl->awaitsAcknowledgement();
}

bool byte_stream::isOpen() const
{
    // A peer that was given up is not waited for.
    return m_impl->socket.is_open() && !m_impl->timedOut;
}

bool byte_stream::hasUnreadBytes() const
{
    return m_impl->hasUnreadBytes();
}

bool byte_stream::hasUnreadInput() const
{
    return m_impl->hasUnreadInput();
}

bool byte_stream::hasPeerEnded() const
{
    return m_impl->hasPeerEnded();
}

void byte_stream::setUnreadLimit(std::chrono::milliseconds limit)
{
    m_impl->setUnreadLimit(limit);
}

bool byte_stream::hasTimedOut() const
{
    return m_impl->timedOut;
}

void byte_stream::observeLateBytes(std::unique_ptr<late_bytes_observer> observer)
{
    m_impl->lateBytes = std::move(observer);
}

void byte_stream::finish()
{
    m_impl->finish(true);
}

void byte_stream::finishUnread()
{
    m_impl->finish(false);
}

void byte_stream::close()
{
    if (m_impl->aborting) {
        // The reset follows.
        m_impl->listener = nullptr;
        return;
    }
    m_impl->close();
}

void byte_stream::abort()
{
    m_impl->abort();
}

void byte_stream::abortUnsent()
{
    m_impl->abortUnsent();
}

} // namespace medlarrack::http1
