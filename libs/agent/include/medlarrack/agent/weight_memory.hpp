#pragma once

#include <limits>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::agent {

/// Memory of a base model and of each of its adapters.
struct model_size
{
    double weightsMb = 0;
    double adapterMb = 0;
};

/// An engine's memory for weights and the sizes of what it may hold. Remembers models that are no longer listed, as the
/// engine may still hold them. Without a capacity, anything fits.
class weight_memory
{
public:
    void setCapacity(double capacityMb);
    void setSize(std::string_view model, model_size size);

    /// A model of unknown size counts as large as the whole memory.
    [[nodiscard]] double modelMb(std::string_view model) const;
    /// Memory of an adapter, "model/adapter".
    [[nodiscard]] double adapterMb(std::string_view adapter) const;
    /// Whether `moreMb` fit beside `usedMb`.
    [[nodiscard]] bool fits(double usedMb, double moreMb) const;

private:
    double m_capacityMb = std::numeric_limits<double>::infinity();
    std::map<std::string, model_size, std::less<>> m_sizes;
};

} // namespace medlarrack::agent
