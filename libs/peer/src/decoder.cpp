#include "schema.hpp"
#include "value_reader.hpp"

#include <medlarrack/peer/codec.hpp>

#include <msgpack.hpp>

#include <algorithm>
#include <cstring>
#include <deque>
#include <exception>

namespace medlarrack::peer {

namespace {

constexpr std::size_t maxElements = 65'536;
constexpr std::size_t maxDepth = 6;
constexpr std::size_t sliceBytes = 64U << 10U;
constexpr std::size_t initialBufferBytes = 1024;

msgpack::unpack_limit limits()
{
    return msgpack::unpack_limit(maxElements, maxElements, maxMessageBytes, maxMessageBytes, 0, maxDepth);
}

// What one MessagePack object turned out to be.
enum class read_result {
    known,
    unknown_type,
    malformed,
};

template<class Message>
bool readField(Message &value, std::uint64_t number, const msgpack::object &from)
{
    bool fits = true;
    const auto tryField = [&](const auto &field) {
        if (field.number == number) {
            fits = detail::read(from, value.*field.member);
        }
    };
    std::apply(
        [&](const auto &...field) {
            (tryField(field), ...);
        },
        detail::schema<Message>::fields);
    return fits;
}

template<class Message>
read_result readMessage(const msgpack::object_map &fields, message &out, core::reason &why)
{
    const std::string type = std::to_string(detail::schema<Message>::type);
    Message value{};
    for (std::uint32_t index = 0; index < fields.size; ++index) {
        const msgpack::object_kv &entry = fields.ptr[index];
        std::uint64_t number = 0;
        if (!detail::read(entry.key, number)) {
            why = {"bad_field", "message type " + type + " has a field whose number is not a positive integer"};
            return read_result::malformed;
        }
        if (!readField(value, number, entry.val)) {
            why = {"bad_field",
                   "message type " + type + ", field " + std::to_string(number) + ": wrong type or out of range"};
            return read_result::malformed;
        }
    }
    out = std::move(value);
    return read_result::known;
}

// Finds the alternative of the variant with that type number.
template<class... Messages>
read_result readAny(std::uint64_t type, const msgpack::object_map &fields, std::variant<Messages...> &out,
                    core::reason &why)
{
    read_result result = read_result::unknown_type;
    const auto tryType = [&]<class Message>(const Message *) {
        if (detail::schema<Message>::type == type) {
            result = readMessage<Message>(fields, out, why);
        }
    };
    (tryType(static_cast<const Messages *>(nullptr)), ...);
    return result;
}

read_result readObject(const msgpack::object &from, message &out, core::reason &why)
{
    std::uint64_t type = 0;
    const bool envelope = from.type == msgpack::type::ARRAY && from.via.array.size == 2
        && detail::read(from.via.array.ptr[0], type) && from.via.array.ptr[1].type == msgpack::type::MAP;
    if (!envelope) {
        why = {"bad_message", "expected an array of a type number and a map of fields"};
        return read_result::malformed;
    }
    return readAny(type, from.via.array.ptr[1].via.map, out, why);
}

} // namespace

class decoder::impl
{
public:
    bool feed(std::string_view bytes, core::reason &why)
    {
        while (!m_broken && !bytes.empty()) {
            const std::string_view slice = bytes.substr(0, sliceBytes);
            bytes.remove_prefix(slice.size());
            feedSlice(slice);
        }
        return report(why);
    }

    std::optional<message> next(core::reason &why)
    {
        if (!m_ready.empty()) {
            message value = std::move(m_ready.front());
            m_ready.pop_front();
            return value;
        }
        static_cast<void>(report(why));
        return std::nullopt;
    }

    [[nodiscard]] std::size_t skipped() const
    {
        return m_skipped;
    }

    [[nodiscard]] bool midMessage() const
    {
        return m_pending > 0;
    }

private:
    // The unpacker throws on excess of a limit and on malformed input.
    void feedSlice(std::string_view slice)
    {
        try {
            m_unpacker.reserve_buffer(slice.size());
            std::memcpy(m_unpacker.buffer(), slice.data(), slice.size());
            m_unpacker.buffer_consumed(slice.size());
            m_pending += slice.size();
            unpack();
        } catch (const std::exception &error) {
            breakOff({"bad_message", std::string("not MessagePack within limits: ") + error.what()});
        }
    }

    void unpack()
    {
        msgpack::object_handle handle;
        while (!m_broken && m_unpacker.next(handle)) {
            const std::size_t length = m_pending - m_unpacker.nonparsed_size();
            m_pending = m_unpacker.nonparsed_size();
            if (length > maxMessageBytes) {
                breakOff({"message_too_long", "a message is longer than the limit"});
                return;
            }
            take(handle.get());
        }
        if (m_pending > maxMessageBytes) {
            breakOff({"message_too_long", "a message is longer than the limit"});
        }
    }

    void take(const msgpack::object &from)
    {
        message value;
        core::reason why;
        switch (readObject(from, value, why)) {
        case read_result::known:
            m_ready.push_back(std::move(value));
            break;
        case read_result::unknown_type:
            ++m_skipped;
            break;
        case read_result::malformed:
            breakOff(std::move(why));
            break;
        }
    }

    void breakOff(core::reason why)
    {
        m_broken = std::move(why);
    }

    bool report(core::reason &why) const
    {
        if (m_broken) {
            why = *m_broken;
        }
        return !m_broken;
    }

    msgpack::unpacker m_unpacker{nullptr, nullptr, initialBufferBytes, limits()};
    std::deque<message> m_ready;
    std::optional<core::reason> m_broken;
    std::size_t m_pending = 0;
    std::size_t m_skipped = 0;
};

decoder::decoder()
    : m_impl(std::make_unique<impl>())
{
}

decoder::~decoder() = default;

bool decoder::feed(std::string_view bytes, core::reason &why)
{
    return m_impl->feed(bytes, why);
}

std::optional<message> decoder::next(core::reason &why)
{
    return m_impl->next(why);
}

std::size_t decoder::skipped() const
{
    return m_impl->skipped();
}

bool decoder::midMessage() const
{
    return m_impl->midMessage();
}

} // namespace medlarrack::peer
