#include <medlarrack/agent/weight_memory.hpp>

#include <cmath>

namespace medlarrack::agent {

void weight_memory::setCapacity(double capacityMb)
{
    m_capacityMb = capacityMb;
}

void weight_memory::setSize(std::string_view model, model_size size)
{
    m_sizes.insert_or_assign(std::string(model), size);
}

double weight_memory::modelMb(std::string_view model) const
{
    const auto found = m_sizes.find(model);
    return found == m_sizes.end() ? m_capacityMb : found->second.weightsMb;
}

double weight_memory::adapterMb(std::string_view adapter) const
{
    const auto found = m_sizes.find(adapter.substr(0, adapter.find('/')));
    return found == m_sizes.end() ? 0 : found->second.adapterMb;
}

bool weight_memory::fits(double usedMb, double moreMb) const
{
    return std::isinf(m_capacityMb) || usedMb + moreMb <= m_capacityMb;
}

} // namespace medlarrack::agent
