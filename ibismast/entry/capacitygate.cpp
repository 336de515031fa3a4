#include "ibismast/entry/capacitygate.h"

#include <algorithm>

namespace ibismast
{

CapacityGate::CapacityGate(const CapacityGateSettings &settings) : m_settings(settings) { }

void CapacityGate::noteLost(const ModelName &modelName, std::size_t live, TimePoint now)
{
    Model &model = m_models[modelName];
    if (now >= model.reducedUntil) {
        model.upstreamsBefore = live + 1;
        model.workBefore = model.work;
    }
    model.live = live;
    model.reducedUntil = now + m_settings.reductionTime;
}

bool CapacityGate::admit(
    const ModelName &modelName, const CustomerId &customer, double weight, Tokens work, TimePoint now)
{
    Model &model = m_models[modelName];
    if (now < model.reducedUntil && !withinLimit(model, customer, weight, work)) {
        return false;
    }
    Customer &entry = model.customers[customer];
    entry.weight = weight;
    entry.work += work;
    ++entry.requests;
    model.work += work;
    return true;
}

void CapacityGate::release(const ModelName &modelName, const CustomerId &customer, Tokens work)
{
    Model &model = m_models[modelName];
    const auto entry = model.customers.find(customer);
    model.work -= work;
    entry->second.work -= work;
    if (--entry->second.requests == 0) {
        model.customers.erase(entry);
    }
}

bool CapacityGate::withinLimit(const Model &model, const CustomerId &customer, double weight, Tokens work) const
{
    const std::size_t lost = model.upstreamsBefore - std::min(model.live, model.upstreamsBefore);
    const double lostShare = static_cast<double>(lost) / static_cast<double>(model.upstreamsBefore);
    if (lost < 2 || lostShare < m_settings.jointLossShare) {
        return true;
    }
    const double limit =
        std::max(static_cast<double>(model.workBefore.value()) * (1.0 - lostShare),
                 static_cast<double>(m_settings.workPerUpstream.value()) * static_cast<double>(model.live));
    const auto wanted = static_cast<double>(work.value());
    if (static_cast<double>(model.work.value()) + wanted <= limit) {
        return true;
    }
    double weights = weight;
    double own = 0.0;
    for (const auto &[name, entry] : model.customers) {
        if (name == customer) {
            own = static_cast<double>(entry.work.value());
        } else {
            weights += entry.weight;
        }
    }
    return own + wanted <= limit * weight / weights;
}

} // namespace ibismast
