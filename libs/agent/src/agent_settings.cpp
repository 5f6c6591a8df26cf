#include <medlarrack/agent/agent_settings.hpp>
#include <medlarrack/settings/typed_settings.hpp>

namespace medlarrack::agent {

namespace {

constexpr std::int64_t highestPort = 65'535;
constexpr std::int64_t largestKb = 1'048'576;

void read(settings::object_reader &reader, agent_settings &value)
{
    reader.require("name");
    reader.text("name", value.name);
    reader.text("data_centre", value.dataCentre);
    reader.require("listen");
    reader.object("listen", [&](settings::object_reader &listen) {
        listen.require("address");
        listen.text("address", value.address);
        listen.require("port");
        listen.integer("port", value.port, 0, highestPort);
        listen.finish();
    });
    reader.integer("metrics_port", value.metricsPort, 0, highestPort);
    reader.require("engine");
    reader.text("engine", value.engine);
    reader.integer("max_report_kb", value.maxReportKb, 1, largestKb);
    reader.word("log_level", value.logLevel, {"debug", "info", "warning", "error"});
}

} // namespace

std::optional<agent_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults)
{
    return settings::readSettings<agent_settings>(root, faults, read);
}

std::optional<agent_settings> loadSettings(const std::string &path, settings::fault_list &faults)
{
    return settings::loadSettings<agent_settings>(path, faults, read);
}

} // namespace medlarrack::agent
