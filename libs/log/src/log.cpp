#include "bounded_output.hpp"

#include <medlarrack/log/log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <memory>
#include <streambuf>
#include <unistd.h>

namespace medlarrack::log {

namespace {

std::atomic<level> lowestLevel{level::info};

std::string &programName()
{
    static std::string name = "medlarrack";
    return name;
}

std::string &instanceName()
{
    static std::string name;
    return name;
}

std::unique_ptr<detail::bounded_output> &buffer()
{
    static std::unique_ptr<detail::bounded_output> output;
    return output;
}

/// A stream buffer that hands each line to the bounded output.
class line_buffer final : public std::streambuf
{
protected:
    int_type overflow(int_type character) override
    {
        if (character != traits_type::eof()) {
            const char byte = traits_type::to_char_type(character);
            xsputn(&byte, 1);
        }
        return traits_type::not_eof(character);
    }

    std::streamsize xsputn(const char *bytes, std::streamsize size) override
    {
        m_line.append(bytes, static_cast<std::size_t>(size));
        if (!m_line.empty() && m_line.back() == '\n') {
            m_line.pop_back();
            buffer()->add(m_line);
            m_line.clear();
        }
        return size;
    }

private:
    std::string m_line;
};

/// Whether a text stands in JSON as it is, which nearly all do.
bool isPlain(std::string_view text)
{
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (code < 0x20 || code >= 0x7f || character == '"' || character == '\\') {
            return false;
        }
    }
    return true;
}

std::string jsonText(std::string_view text)
{
    if (isPlain(text)) {
        std::string quoted;
        quoted.reserve(text.size() + 2);
        quoted += '"';
        quoted += text;
        quoted += '"';
        return quoted;
    }
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view nameOf(level value)
{
    switch (value) {
    case level::debug:
        return "debug";
    case level::info:
        return "info";
    case level::warning:
        return "warning";
    case level::error:
        break;
    }
    return "error";
}

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(milliseconds));
    return text.data();
}

void startSink(std::string_view program, level lowest, const boost::shared_ptr<std::ostream> &stream)
{
    programName() = program;
    lowestLevel = lowest;
    using backend_type = boost::log::sinks::text_ostream_backend;
    using sink_type = boost::log::sinks::synchronous_sink<backend_type>;
    auto backend = boost::make_shared<backend_type>();
    backend->add_stream(stream);
    backend->auto_flush(true);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(boost::make_shared<sink_type>(backend));
}

} // namespace

field::field(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , json(jsonText(text))
{
}

field::field(std::string_view fieldName, const std::string &text)
    : field(fieldName, std::string_view(text))
{
}

field::field(std::string_view fieldName, const char *text)
    : field(fieldName, std::string_view(text))
{
}

field::field(std::string_view fieldName, std::int64_t number)
    : name(fieldName)
    , json(std::to_string(number))
{
}

field::field(std::string_view fieldName, std::uint64_t number)
    : name(fieldName)
    , json(std::to_string(number))
{
}

field::field(std::string_view fieldName, int number)
    : field(fieldName, static_cast<std::int64_t>(number))
{
}

field::field(std::string_view fieldName, std::uint32_t number)
    : field(fieldName, static_cast<std::uint64_t>(number))
{
}

field::field(std::string_view fieldName, bool truth)
    : name(fieldName)
    , json(truth ? "true" : "false")
{
}

void start(std::string_view program, level lowest)
{
    startSink(program, lowest, boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream *) {}));
}

void startBuffered(std::string_view program, std::string_view instance, level lowest, std::size_t maxBytes)
{
    instanceName() = instance;
    buffer() = std::make_unique<detail::bounded_output>(STDOUT_FILENO, maxBytes);
    static line_buffer lines;
    startSink(program, lowest, boost::make_shared<std::ostream>(&lines));
}

void flush()
{
    if (buffer() == nullptr) {
        return;
    }
    buffer()->flush();
    if (const std::size_t dropped = buffer()->takeDropped(); dropped > 0) {
        write(level::warning, "log lines dropped", {{"count", static_cast<std::uint64_t>(dropped)}});
    }
}

level levelFromString(std::string_view name)
{
    for (level value : {level::debug, level::info, level::warning, level::error}) {
        if (name == nameOf(value)) {
            return value;
        }
    }
    return level::info;
}

bool enabled(level value)
{
    return value >= lowestLevel.load(std::memory_order_relaxed);
}

void write(level value, std::string_view message, std::initializer_list<field> fields)
{
    if (!enabled(value)) {
        return;
    }
    std::string line = "{\"time\":\"" + utcNow() + "\",\"level\":\"";
    line += nameOf(value);
    line += "\",\"program\":" + jsonText(programName());
    if (!instanceName().empty()) {
        line += ",\"instance\":" + jsonText(instanceName());
    }
    line += ",\"message\":" + jsonText(message);
    for (const field &one : fields) {
        line += ",\"" + one.name + "\":" + one.json;
    }
    line += '}';
    boost::log::sources::logger logger;
    if (auto record = logger.open_record()) {
        boost::log::record_ostream stream(record);
        stream << line;
        stream.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace medlarrack::log
