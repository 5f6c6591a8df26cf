#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured logs: one JSON object a line, written through Boost.Log: on standard error at once, or on standard output
/// through a bounded buffer that never blocks the writer.
namespace medlarrack::log {

enum class level {
    debug,
    info,
    warning,
    error,
};

/// A field of a log line. Usual names: "request_id", "operator", "target", "adapter", "code".
struct field
{
    field(std::string_view fieldName, std::string_view text);
    field(std::string_view fieldName, const std::string &text);
    field(std::string_view fieldName, const char *text);
    field(std::string_view fieldName, std::int64_t number);
    field(std::string_view fieldName, std::uint64_t number);
    field(std::string_view fieldName, int number);
    field(std::string_view fieldName, std::uint32_t number);
    field(std::string_view fieldName, bool truth);

    std::string name;
    /// Value as JSON text.
    std::string json;
};

/// Sets up the output; called once at start. Lines below the level are dropped.
void start(std::string_view program, level lowest);
/// The same to standard output, each line with the name of the instance, through a buffer of at most `maxBytes` that
/// flush() empties. Lines that find it full are dropped; flush() writes how many.
void startBuffered(std::string_view program, std::string_view instance, level lowest, std::size_t maxBytes);
/// Hands buffered lines to standard output as far as it takes them; never waits.
void flush();
/// The level of a name ("debug", "info", "warning", "error"); info for any other text.
[[nodiscard]] level levelFromString(std::string_view name);
/// Whether lines of a level are written.
[[nodiscard]] bool enabled(level value);
/// Writes one line. Thread-safe.
void write(level value, std::string_view message, std::initializer_list<field> fields = {});

} // namespace medlarrack::log
