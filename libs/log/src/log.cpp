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

namespace medlarrack::log {

namespace {

std::atomic<level> lowestLevel{level::info};

std::string &programName()
{
    static std::string name = "medlarrack";
    return name;
}

std::string jsonText(std::string_view text)
{
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

void start(std::string_view program, level lowest)
{
    programName() = program;
    lowestLevel = lowest;
    using backend_type = boost::log::sinks::text_ostream_backend;
    using sink_type = boost::log::sinks::synchronous_sink<backend_type>;
    auto backend = boost::make_shared<backend_type>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream *) {}));
    backend->auto_flush(true);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(boost::make_shared<sink_type>(backend));
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
