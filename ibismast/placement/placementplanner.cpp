#include "ibismast/placement/placementplanner.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>
#include <tuple>

namespace ibismast
{

Result<Success> PlacementPlannerSettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "PlacementPlannerSettings::" + field, std::nullopt};
    };
    if (weightBytesPerSecond <= 0.0 || weightBurstBytes <= 0.0) {
        return invalid("weightBytesPerSecond and weightBurstBytes must be positive");
    }
    if (orderTimeout <= Duration::zero()) {
        return invalid("orderTimeout must be positive");
    }
    if (roleHysteresis <= 0.5 || roleHysteresis > 2.0) {
        return invalid("roleHysteresis must be above 0.5 and at most 2");
    }
    return Success();
}

PlacementPlanner::PlacementPlanner(const PlacementPlannerSettings &settings, InstanceId self, FailureDomain domain)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_weightBytes(settings.weightBurstBytes)
{
}

void PlacementPlanner::setDeclarations(const Declarations &declarations)
{
    m_declarations = declarations;
}

void PlacementPlanner::observe(UpstreamStatus status)
{
    m_nodes[status.upstream].status = std::move(status);
}

void PlacementPlanner::forget(const InstanceId &upstream)
{
    m_nodes.erase(upstream);
    m_observedSets.erase(upstream);
}

void PlacementPlanner::setDemand(const ModelName &model, const ModelDemand &demand)
{
    m_demand[model] = demand;
}

void PlacementPlanner::setJointFailureSet(const InstanceId &upstream, const std::string &set)
{
    m_observedSets[upstream] = set;
}

void PlacementPlanner::handleResult(const UpstreamOrderResult &result, TimePoint now)
{
    for (auto &[id, node] : m_nodes) {
        if (node.pending && node.pending->call == result.call) {
            node.pending.reset();
            if (result.error) {
                node.pausedUntil = now + m_settings.refusalPause;
            }
        }
    }
}

std::size_t PlacementPlanner::ordersUnderWay() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_nodes, [](const auto &entry) {
        return entry.second.pending.has_value();
    }));
}

void PlacementPlanner::expire(TimePoint now)
{
    for (auto &[id, node] : m_nodes) {
        if (node.pending && now >= node.pending->deadline) {
            node.pending.reset();
        }
    }
}

bool PlacementPlanner::takeWeights(Bytes bytes, TimePoint now)
{
    if (now > m_weightUpdated) {
        m_weightBytes = std::min(m_settings.weightBurstBytes,
                                 m_weightBytes + m_settings.weightBytesPerSecond * toSeconds(now - m_weightUpdated));
        m_weightUpdated = now;
    }
    // A copy larger than the burst goes when the bucket is full, and leaves a debt.
    const auto wanted = static_cast<double>(bytes.value());
    if (m_weightBytes < std::min(wanted, m_settings.weightBurstBytes)) {
        return false;
    }
    m_weightBytes -= wanted;
    return true;
}

bool PlacementPlanner::usable(const Node &node) const
{
    const auto declared = m_declarations.upstreams.find(node.status.upstream);
    return node.status.alive && !node.status.leaving && declared != m_declarations.upstreams.end()
        && declared->second.domain == m_domain && !m_declarations.draining.contains(node.status.upstream);
}

bool PlacementPlanner::free(const Node &node, TimePoint now) const
{
    return !node.pending && now >= node.pausedUntil;
}

Tokens PlacementPlanner::freeMemory(const Node &node) const
{
    Tokens left = m_declarations.upstreams.at(node.status.upstream).memory;
    for (const PlacedModel &placed : node.status.models) {
        const auto model = m_declarations.models.find(placed.model);
        if (model != m_declarations.models.end()) {
            left -= model->second.memory;
        }
    }
    return left;
}

const std::string &PlacementPlanner::jointSet(const InstanceId &upstream) const
{
    const auto observed = m_observedSets.find(upstream);
    return observed != m_observedSets.end() ? observed->second : m_declarations.upstreams.at(upstream).jointFailureSet;
}

int PlacementPlanner::copiesInSet(const ModelName &model, const std::string &set) const
{
    return static_cast<int>(std::ranges::count_if(m_nodes, [&](const auto &entry) {
        const Node &node = entry.second;
        const bool loading = node.pending && node.pending->verb == "load" && node.pending->model == model;
        return usable(node) && jointSet(entry.first) == set && (loading || placedModel(node.status, model));
    }));
}

int PlacementPlanner::liveCopies(const ModelName &model, const std::string *version) const
{
    return static_cast<int>(std::ranges::count_if(m_nodes, [&](const auto &entry) {
        const Node &node = entry.second;
        const PlacedModel *placed = placedModel(node.status, model);
        const bool going = node.pending && node.pending->verb == "unload" && node.pending->model == model;
        return usable(node) && placed && !going && (!version || placed->version == *version);
    }));
}

int PlacementPlanner::copiesAndLoads(const ModelDeclaration &model) const
{
    return static_cast<int>(std::ranges::count_if(m_nodes, [&](const auto &entry) {
        const Node &node = entry.second;
        const PlacedModel *placed = placedModel(node.status, model.name);
        const bool pending = node.pending && node.pending->model == model.name;
        if (pending && node.pending->verb != "role") {
            return usable(node) && node.pending->verb == "load";
        }
        return usable(node) && placed && placed->version == model.version;
    }));
}

void PlacementPlanner::order(Node &node, UpstreamOrder order, TimePoint now, Orders &out)
{
    m_calls += 1;
    order.call = m_calls;
    order.token = m_token;
    order.issuer = m_self;
    order.shard = m_domain.value();
    node.pending = Pending {order.call, order.verb, order.model, now + m_settings.orderTimeout};
    out.push_back({node.status.upstream, std::move(order)});
}

PlacementPlanner::Orders PlacementPlanner::plan(FencingToken token, TimePoint now)
{
    m_token = token;
    expire(now);
    // Models without a copy come first, so that the weight store's rate serves them before additional copies.
    std::vector<const ModelDeclaration *> models;
    for (const auto &[name, model] : m_declarations.models) {
        models.push_back(&model);
    }
    std::ranges::stable_sort(models, {}, [this](const ModelDeclaration *model) {
        return liveCopies(model->name, nullptr) == 0 ? 0 : 1;
    });
    Orders out;
    for (const ModelDeclaration *model : models) {
        planModel(*model, now, out);
    }
    planUndeclared(now, out);
    return out;
}

void PlacementPlanner::planModel(const ModelDeclaration &model, TimePoint now, Orders &out)
{
    const int missing = model.copiesPerDomain - copiesAndLoads(model);
    if (missing > 0) {
        planLoads(model, missing, now, out);
    }
    planAdapters(model, now, out);
    planUnloads(model, now, out);
    planRoles(model, now, out);
}

void PlacementPlanner::planLoads(const ModelDeclaration &model, int missing, TimePoint now, Orders &out)
{
    for (; missing > 0; --missing) {
        Node *best = nullptr;
        std::tuple<int, std::size_t, std::uint64_t> bestRank;
        for (auto &[id, node] : m_nodes) {
            if (!usable(node) || !free(node, now) || placedModel(node.status, model.name)
                || freeMemory(node) < model.memory) {
                continue;
            }
            const std::tuple rank(copiesInSet(model.name, jointSet(id)),
                                  node.status.models.size(),
                                  combineHashes(stableHash(id.value()), stableHash(model.name.value())));
            if (!best || rank < bestRank) {
                best = &node;
                bestRank = rank;
            }
        }
        if (!best) {
            makeRoom(model, now, out);
            return;
        }
        if (!takeWeights(model.weightBytes, now)) {
            return;
        }
        UpstreamOrder load;
        load.verb = "load";
        load.model = model.name;
        load.version = model.version;
        load.role = toString(roleForNewCopy(model));
        order(*best, std::move(load), now, out);
    }
}

bool PlacementPlanner::makeRoom(const ModelDeclaration &model, TimePoint now, Orders &out)
{
    // One old copy at a time gives way to a new one, and never the last.
    if (liveCopies(model.name, nullptr) < 2) {
        return false;
    }
    for (const bool inUse : {false, true}) {
        for (auto &[id, node] : m_nodes) {
            const PlacedModel *placed = placedModel(node.status, model.name);
            if (usable(node) && free(node, now) && placed && placed->version != model.version
                && placed->inUse == inUse) {
                UpstreamOrder unload;
                unload.verb = "unload";
                unload.model = model.name;
                unload.version = placed->version;
                order(node, std::move(unload), now, out);
                return true;
            }
        }
    }
    return false;
}

void PlacementPlanner::planAdapters(const ModelDeclaration &model, TimePoint now, Orders &out)
{
    for (auto &[id, node] : m_nodes) {
        const PlacedModel *placed = placedModel(node.status, model.name);
        if (!usable(node) || !free(node, now) || !placed || placed->version != model.version) {
            continue;
        }
        for (const std::string &adapter : model.adapters) {
            if (!placed->adapters.contains(adapter)) {
                UpstreamOrder load;
                load.verb = "load";
                load.model = model.name;
                load.version = model.version;
                load.adapter = adapter;
                order(node, std::move(load), now, out);
                break;
            }
        }
    }
}

} // namespace ibismast
