#include "ibismast/placement/placementplanner.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

bool splitsRoles(const ModelDeclaration &model)
{
    return model.roles.contains(UpstreamRole::Prefill) && model.roles.contains(UpstreamRole::Decode);
}

} // namespace

void PlacementPlanner::planUnloads(const ModelDeclaration &model, TimePoint now, Orders &out)
{
    while (true) {
        const int current = liveCopies(model.name, &model.version);
        const int all = liveCopies(model.name, nullptr);
        // Old copies go once the new ones are all there; surplus ones of the present version go at any time.
        const bool oldMayGo = current >= model.copiesPerDomain && all > current;
        const bool surplus = current > model.copiesPerDomain;
        if (!oldMayGo && !surplus) {
            return;
        }
        Node *chosen = nullptr;
        std::pair<bool, int> chosenRank;
        for (auto &[id, node] : m_nodes) {
            const PlacedModel *placed = placedModel(node.status, model.name);
            if (!usable(node) || !free(node, now) || !placed
                || (placed->version == model.version ? !surplus : !oldMayGo)) {
                continue;
            }
            const std::pair rank(placed->inUse, -copiesInSet(model.name, jointSet(id)));
            if (!chosen || rank < chosenRank) {
                chosen = &node;
                chosenRank = rank;
            }
        }
        if (!chosen) {
            return;
        }
        UpstreamOrder unload;
        unload.verb = "unload";
        unload.model = model.name;
        unload.version = placedModel(chosen->status, model.name)->version;
        order(*chosen, std::move(unload), now, out);
    }
}

void PlacementPlanner::planUndeclared(TimePoint now, Orders &out)
{
    for (auto &[id, node] : m_nodes) {
        for (const PlacedModel &placed : node.status.models) {
            if (usable(node) && free(node, now) && !placed.inUse && !m_declarations.models.contains(placed.model)) {
                UpstreamOrder unload;
                unload.verb = "unload";
                unload.model = placed.model;
                unload.version = placed.version;
                order(node, std::move(unload), now, out);
                break;
            }
        }
    }
}

UpstreamRole PlacementPlanner::roleForNewCopy(const ModelDeclaration &model) const
{
    if (!splitsRoles(model)) {
        return UpstreamRole::Mixed;
    }
    // The first copy has to serve whole requests; planRoles splits the roles once there are two.
    if (liveCopies(model.name, nullptr) == 0) {
        return UpstreamRole::Mixed;
    }
    const auto prefill = std::ranges::count_if(m_nodes, [&model](const auto &entry) {
        const PlacedModel *placed = placedModel(entry.second.status, model.name);
        return placed && placed->role == UpstreamRole::Prefill;
    });
    return prefill == 0 ? UpstreamRole::Prefill : UpstreamRole::Decode;
}

int PlacementPlanner::wantedPrefillCopies(const ModelDeclaration &model, int copies, int present) const
{
    const auto demand = m_demand.find(model.name);
    const double all = demand == m_demand.end() ? 0.0 : demand->second.prefillRate + demand->second.decodeRate;
    int wanted = std::clamp(present, 1, copies - 1);
    if (all > 0.0) {
        const double ideal = demand->second.prefillRate / all * copies;
        if (std::abs(ideal - present) > m_settings.roleHysteresis) {
            wanted = std::clamp(static_cast<int>(std::lround(ideal)), 1, copies - 1);
        }
    }
    return wanted;
}

void PlacementPlanner::planRoles(const ModelDeclaration &model, TimePoint now, Orders &out)
{
    std::vector<Node *> copies;
    for (auto &[id, node] : m_nodes) {
        const PlacedModel *placed = placedModel(node.status, model.name);
        if (usable(node) && placed && placed->version == model.version) {
            copies.push_back(&node);
        }
    }
    const auto change = [&](Node &node, UpstreamRole role) {
        UpstreamOrder roleOrder;
        roleOrder.verb = "role";
        roleOrder.model = model.name;
        roleOrder.version = model.version;
        roleOrder.role = toString(role);
        order(node, std::move(roleOrder), now, out);
        m_roleChanges[model.name] = now;
    };
    const auto firstWith = [&](UpstreamRole role) -> Node * {
        // An idle copy changes first, because its cached prefixes and streams are lost with the role.
        for (const bool inUse : {false, true}) {
            for (Node *node : copies) {
                const PlacedModel *placed = placedModel(node->status, model.name);
                if (free(*node, now) && placed->role == role && placed->inUse == inUse) {
                    return node;
                }
            }
        }
        return nullptr;
    };
    const bool underWay = std::ranges::any_of(copies, [&model](const Node *node) {
        return node->pending && node->pending->verb == "role" && node->pending->model == model.name;
    });
    if (underWay || copies.empty()) {
        return;
    }
    if (!splitsRoles(model) || copies.size() == 1) {
        for (const auto role : {UpstreamRole::Prefill, UpstreamRole::Decode}) {
            if (Node *node = firstWith(role)) {
                change(*node, UpstreamRole::Mixed);
                return;
            }
        }
        return;
    }
    const auto count = [&](UpstreamRole role) {
        return static_cast<int>(std::ranges::count_if(copies, [&](const Node *node) {
            return placedModel(node->status, model.name)->role == role;
        }));
    };
    const int prefill = count(UpstreamRole::Prefill);
    const int wanted = wantedPrefillCopies(model, static_cast<int>(copies.size()), prefill);
    if (Node *mixed = firstWith(UpstreamRole::Mixed)) {
        // A mixed copy is kept only where the roles are not split, or while the other role has no copy yet.
        change(*mixed, prefill < wanted ? UpstreamRole::Prefill : UpstreamRole::Decode);
        return;
    }
    const auto last = m_roleChanges.find(model.name);
    const bool mayChange = last == m_roleChanges.end() || now >= last->second + m_settings.roleDwell;
    if (prefill == wanted || !mayChange) {
        return;
    }
    const auto from = prefill < wanted ? UpstreamRole::Decode : UpstreamRole::Prefill;
    if (Node *node = firstWith(from)) {
        change(*node, prefill < wanted ? UpstreamRole::Prefill : UpstreamRole::Decode);
    }
}

} // namespace ibismast
