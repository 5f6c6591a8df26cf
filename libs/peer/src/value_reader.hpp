#pragma once

#include <medlarrack/peer/messages.hpp>

#include <msgpack.hpp>

#include <chrono>
#include <concepts>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// Reads typed values from MessagePack objects. Each function says false when type or range don't fit.
namespace medlarrack::peer::detail {

/// The highest value of an enumeration on the wire.
template<class Enum>
inline constexpr Enum highest = Enum{};
template<>
inline constexpr work_kind highest<work_kind> = work_kind::service_call;
template<>
inline constexpr core::request_class highest<core::request_class> = core::request_class::bulk;
template<>
inline constexpr core::outcome highest<core::outcome> = core::outcome::unknown;
template<>
inline constexpr seal_state highest<seal_state> = seal_state::refused;

inline bool read(const msgpack::object &from, bool &value)
{
    if (from.type != msgpack::type::BOOLEAN) {
        return false;
    }
    value = from.via.boolean;
    return true;
}

template<class Value>
requires std::integral<Value>
bool read(const msgpack::object &from, Value &value)
{
    if (from.type == msgpack::type::POSITIVE_INTEGER) {
        if (!std::in_range<Value>(from.via.u64)) {
            return false;
        }
        value = static_cast<Value>(from.via.u64);
        return true;
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER && std::in_range<Value>(from.via.i64)) {
        value = static_cast<Value>(from.via.i64);
        return true;
    }
    return false;
}

template<class Value>
requires std::is_enum_v<Value>
bool read(const msgpack::object &from, Value &value)
{
    std::uint64_t number = 0;
    if (!read(from, number) || number > static_cast<std::uint64_t>(highest<Value>)) {
        return false;
    }
    value = static_cast<Value>(number);
    return true;
}

template<class Rep, class Period>
bool read(const msgpack::object &from, std::chrono::duration<Rep, Period> &value)
{
    Rep count = 0;
    if (!read(from, count)) {
        return false;
    }
    value = std::chrono::duration<Rep, Period>(count);
    return true;
}

inline bool read(const msgpack::object &from, std::string &value)
{
    if (from.type == msgpack::type::STR) {
        value.assign(from.via.str.ptr, from.via.str.size);
        return true;
    }
    if (from.type == msgpack::type::BIN) {
        value.assign(from.via.bin.ptr, from.via.bin.size);
        return true;
    }
    return false;
}

template<class First, class Second>
bool readPair(const msgpack::object &from, First &first, Second &second)
{
    if (from.type != msgpack::type::ARRAY || from.via.array.size != 2) {
        return false;
    }
    return read(from.via.array.ptr[0], first) && read(from.via.array.ptr[1], second);
}

inline bool read(const msgpack::object &from, core::instance_ref &value)
{
    return readPair(from, value.id, value.incarnation);
}

inline bool read(const msgpack::object &from, core::adapter_ref &value)
{
    return readPair(from, value.adapter, value.version);
}

inline bool read(const msgpack::object &from, std::pair<std::string, std::string> &value)
{
    return readPair(from, value.first, value.second);
}

template<class Value>
bool read(const msgpack::object &from, std::vector<Value> &values)
{
    if (from.type != msgpack::type::ARRAY) {
        return false;
    }
    values.clear();
    values.reserve(from.via.array.size);
    for (std::uint32_t index = 0; index < from.via.array.size; ++index) {
        if (!read(from.via.array.ptr[index], values.emplace_back())) {
            return false;
        }
    }
    return true;
}

} // namespace medlarrack::peer::detail
