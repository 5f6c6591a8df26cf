#pragma once

#include <string>

namespace medlarrack::standins {

/// Command line options of the engine.
struct engine_settings
{
    int slots = 8;
    int batchSize = 16;
    int stepMs = 20;
    int loadMs = 250;
    int maxWaiting = 256;
    int cacheBlocks = 4096;
    /// Blocks of the prompt read in one step.
    int prefillBlocks = 64;
    std::string baseModel = "base-8b";
    /// Base URL of the platform whose store has the weights; empty to load locally.
    std::string platform;
    bool fenceCheck = false;
};

} // namespace medlarrack::standins
