#include "schema.hpp"

#include <medlarrack/peer/codec.hpp>

#include <msgpack.hpp>

#include <concepts>
#include <type_traits>

namespace medlarrack::peer {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

template<class Value>
requires std::integral<Value>
void write(packer &out, const Value &value)
{
    out.pack(value);
}

void write(packer &out, const std::string &value)
{
    out.pack(value);
}

template<class Value>
requires std::is_enum_v<Value>
void write(packer &out, const Value &value)
{
    out.pack(static_cast<std::uint64_t>(value));
}

template<class Rep, class Period>
void write(packer &out, const std::chrono::duration<Rep, Period> &value)
{
    out.pack(static_cast<std::int64_t>(value.count()));
}

void write(packer &out, const core::instance_ref &value)
{
    out.pack_array(2);
    write(out, value.id);
    write(out, value.incarnation);
}

void write(packer &out, const core::adapter_ref &value)
{
    out.pack_array(2);
    write(out, value.adapter);
    write(out, value.version);
}

void write(packer &out, const std::pair<std::string, std::string> &value)
{
    out.pack_array(2);
    write(out, value.first);
    write(out, value.second);
}

template<class Value>
void write(packer &out, const std::vector<Value> &values)
{
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const Value &value : values) {
        write(out, value);
    }
}

// A field that holds its default is left out; the reader restores it.
template<class Message>
void writeMessage(packer &out, const Message &value)
{
    using layout = detail::schema<Message>;
    const Message defaults{};
    std::uint32_t present = 0;
    const auto count = [&](const auto &field) {
        present += value.*field.member != defaults.*field.member ? 1 : 0;
    };
    const auto writeField = [&](const auto &field) {
        if (value.*field.member != defaults.*field.member) {
            out.pack(field.number);
            write(out, value.*field.member);
        }
    };
    std::apply(
        [&](const auto &...field) {
            (count(field), ...);
        },
        layout::fields);
    out.pack_array(2);
    out.pack(layout::type);
    out.pack_map(present);
    std::apply(
        [&](const auto &...field) {
            (writeField(field), ...);
        },
        layout::fields);
}

} // namespace

std::string encode(const message &value)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    std::visit(
        [&](const auto &typed) {
            writeMessage(out, typed);
        },
        value);
    return std::string(buffer.data(), buffer.size());
}

} // namespace medlarrack::peer
