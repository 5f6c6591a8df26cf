#pragma once

#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <string>

namespace medlarrack::gateway::testing {

/// Replica table of a process in data centre "dc1", with replicas in three data centres.
struct fleet_fixture
{
    core::manual_clock clock;
    replica_table table{"dc1"};
    std::minstd_rand choiceRandom{1};

    replica_ptr add(const std::string &id, const std::string &dataCentre = "dc1", const std::string &service = "llm",
                    std::uint32_t slots = 32)
    {
        catalog::replica_record record;
        record.id = id;
        record.service = service;
        record.address = "127.0.0.1";
        record.port = static_cast<std::uint16_t>(table.all().size() + 1);
        record.dataCentre = dataCentre;
        record.slots = slots;
        record.sequence = 1;
        record.startedAtMs = 1;
        record.models = {"m"};
        table.update(record, clock.now());
        return table.find(id);
    }

    /// Adds engines "e0", "e1", ... in turn to the three data centres, each with an agent.
    void addEngines(int count)
    {
        for (int index = 0; index < count; ++index) {
            const replica_ptr engine = add("e" + std::to_string(index), "dc" + std::to_string(index % 3 + 1));
            engine->agent = agent_status{true, 1, {"m"}, {}, 0, 0, 0, clock.now()};
        }
    }

    replica_choice choose(const std::string &adapter, double demand = 0, std::span<const std::string> tried = {})
    {
        return chooseEngine(table, {"llm", "m", adapter, 32, demand, tried}, clock.now());
    }

    replica_choice choosePlainOne(std::span<const std::string> tried = {})
    {
        return choosePlain(table, {"plain", "", "", 1, 0, tried}, clock.now(), choiceRandom);
    }
};

} // namespace medlarrack::gateway::testing
