#pragma once

#include <medlarrack/peer/client.hpp>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace medlarrack::peer::tests {

/// An HTTP/2 frame.
inline std::string frame(std::uint8_t type, std::uint8_t flags, std::int32_t stream, std::string_view payload)
{
    const auto byteOf = [](std::size_t value, unsigned shift) {
        return static_cast<char>((value >> shift) & 0xffU);
    };
    const auto id = static_cast<std::size_t>(stream);
    std::string bytes = {byteOf(payload.size(), 16), byteOf(payload.size(), 8), byteOf(payload.size(), 0)};
    bytes += {static_cast<char>(type), static_cast<char>(flags)};
    bytes += {byteOf(id, 24), byteOf(id, 16), byteOf(id, 8), byteOf(id, 0)};
    return bytes.append(payload);
}

/// The head of a response without a body, its fields as literals of less than 127 bytes that aren't indexed.
inline std::string headersFrame(std::int32_t stream, const std::vector<std::pair<std::string, std::string>> &fields)
{
    constexpr std::uint8_t headersType = 1;
    constexpr std::uint8_t endStreamAndHeaders = 5;
    std::string block;
    for (const auto &[name, value] : fields) {
        block += '\0';
        block += static_cast<char>(name.size());
        block += name;
        block += static_cast<char>(value.size());
        block += value;
    }
    return frame(headersType, endStreamAndHeaders, stream, block);
}

/// A server of one connection that answers each request with frames that no server of ours would send.
class raw_server
{
public:
    explicit raw_server(std::function<std::string(std::int32_t stream)> answer)
        : m_answer(std::move(answer))
        , m_thread([this] {
            serve();
        })
    {
    }

    ~raw_server()
    {
        // Ends accept() if no client came.
        asio::error_code ignored;
        asio::ip::tcp::socket last(m_context);
        last.connect(m_acceptor.local_endpoint(), ignored);
        last.close(ignored);
        m_thread.join();
    }

    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    [[nodiscard]] endpoint at() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve()
    {
        constexpr std::size_t prefaceBytes = 24;
        constexpr std::uint8_t settingsType = 4;
        asio::error_code error;
        auto socket = m_acceptor.accept(error);
        asio::write(socket, asio::buffer(frame(settingsType, 0, 0, {})), error);
        std::string received;
        std::array<char, 4'096> buffer{};
        std::size_t parsed = prefaceBytes;
        while (!error) {
            received.append(buffer.data(), socket.read_some(asio::buffer(buffer), error));
            const std::string answers = answerFrames(received, parsed);
            if (!error && !answers.empty()) {
                asio::write(socket, asio::buffer(answers), error);
            }
        }
    }

    /// Passes over the whole frames behind `parsed` and returns the answers to the requests among them.
    std::string answerFrames(const std::string &received, std::size_t &parsed) const
    {
        constexpr std::size_t frameHeadBytes = 9;
        constexpr std::uint8_t headersType = 1;
        const auto numberAt = [&](std::size_t at, std::size_t size) {
            std::size_t value = 0;
            for (std::size_t index = at; index < at + size; ++index) {
                value = value << 8U | static_cast<std::uint8_t>(received[index]);
            }
            return value;
        };
        std::string answers;
        while (received.size() >= parsed + frameHeadBytes
               && received.size() >= parsed + frameHeadBytes + numberAt(parsed, 3)) {
            if (numberAt(parsed + 3, 1) == headersType) {
                answers += m_answer(static_cast<std::int32_t>(numberAt(parsed + 5, 4)));
            }
            parsed += frameHeadBytes + numberAt(parsed, 3);
        }
        return answers;
    }

    std::function<std::string(std::int32_t stream)> m_answer;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}};
    std::thread m_thread;
};

} // namespace medlarrack::peer::tests
