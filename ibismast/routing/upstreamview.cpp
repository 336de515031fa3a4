#include "ibismast/routing/upstreamview.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// Give a model and a service of the same name different subsets.
constexpr std::uint64_t ModelSalt = 1;
constexpr std::uint64_t ServiceSalt = 2;

const std::vector<Upstream *> NoMembers;

template<typename Selectors, typename Name>
const std::vector<Upstream *> &membersOf(const Selectors &selectors, const Name &name)
{
    const auto selector = selectors.find(name);
    return selector == selectors.end() ? NoMembers : selector->second.members();
}

template<typename Selectors, typename Names>
void addTo(Selectors &selectors, const Names &names, std::uint64_t seed, std::size_t size, Upstream &upstream)
{
    for (const auto &name : names) {
        const auto [selector, added] = selectors.try_emplace(name, combineHashes(seed, stableHash(name.value())), size);
        selector->second.add(upstream);
    }
}

template<typename Selectors, typename Names>
void removeFrom(Selectors &selectors, const Names &names, Upstream &upstream)
{
    for (const auto &name : names) {
        const auto selector = selectors.find(name);
        if (selector == selectors.end()) {
            continue;
        }
        selector->second.remove(upstream);
        if (selector->second.empty()) {
            selectors.erase(selector);
        }
    }
}

} // namespace

UpstreamView::UpstreamView(const UpstreamViewSettings &settings, const InstanceId &self)
    : m_settings(settings), m_seed(stableHash(self.value()))
{
}

UpstreamView::Change UpstreamView::noteFrame(const InstanceId &agent, Incarnation incarnation, TimePoint now)
{
    Upstream &upstream = findOrCreate(agent);
    if (incarnation < upstream.incarnation) {
        return Change::Stale;
    }
    Change change = Change::None;
    if (incarnation != upstream.incarnation) {
        change = upstream.incarnation == Incarnation() ? Change::None : Change::Restarted;
        removeFromSelectors(upstream);
        upstream = Upstream();
        upstream.id = agent;
        upstream.incarnation = incarnation;
    }
    upstream.connected = true;
    upstream.suspected = false;
    upstream.lastHeartbeat = now;
    updateRoutable(upstream);
    return change;
}

void UpstreamView::applyHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    Upstream &upstream = findOrCreate(heartbeat.self.instance);
    // The selectors find the upstream by its model and service names and its failure domain, so it must be removed
    // before these change.
    const bool keysChanged = upstream.domain != heartbeat.self.domain
        || (heartbeat.load
            && (heartbeat.load->models != upstream.load.models || heartbeat.load->services != upstream.load.services));
    if (keysChanged) {
        removeFromSelectors(upstream);
    }
    upstream.domain = heartbeat.self.domain;
    upstream.state = heartbeat.self.state;
    upstream.leaving = upstream.leaving || heartbeat.self.state == InstanceState::Leaving;
    upstream.lastHeartbeat = now;
    if (heartbeat.load) {
        upstream.load = *heartbeat.load;
        // Messages on a connection keep their order, so the report includes all work that was acknowledged before it.
        upstream.acknowledged = {};
    }
    updateRoutable(upstream);
}

void UpstreamView::setConnected(const InstanceId &agent, bool connected, TimePoint now)
{
    Upstream &upstream = findOrCreate(agent);
    upstream.connected = connected;
    upstream.lastHeartbeat = now;
    if (!connected) {
        upstream.unacknowledged = {};
        upstream.openCalls = 0;
    }
    updateRoutable(upstream);
}

void UpstreamView::markLeaving(const InstanceId &agent)
{
    Upstream *upstream = find(agent);
    if (upstream != nullptr) {
        upstream->leaving = true;
        updateRoutable(*upstream);
    }
}

void UpstreamView::markLeavingByList(const InstanceId &agent, TimePoint now)
{
    Upstream *upstream = find(agent);
    if (upstream == nullptr || upstream->incarnation == Incarnation()) {
        return;
    }
    const auto lastListed = m_listedLeaving.find(agent);
    if (!upstream->leaving && lastListed != m_listedLeaving.end() && now - lastListed->second < m_settings.listLag) {
        return;
    }
    m_listedLeaving.insert_or_assign(agent, now);
    markLeaving(agent);
}

void UpstreamView::noteDispatched(Upstream &upstream, PriorityClass priorityClass, Tokens work)
{
    upstream.unacknowledged[classIndex(priorityClass)] += work;
}

void UpstreamView::noteAccepted(Upstream &upstream, PriorityClass priorityClass, Tokens work)
{
    noteRefused(upstream, priorityClass, work);
    upstream.acknowledged[classIndex(priorityClass)] += work;
}

void UpstreamView::noteRefused(Upstream &upstream, PriorityClass priorityClass, Tokens work)
{
    // The counter may be smaller than the work, because a disconnection in between has reset it.
    Tokens &waiting = upstream.unacknowledged[classIndex(priorityClass)];
    waiting = std::max(waiting - work, Tokens());
}

std::vector<InstanceId> UpstreamView::checkSilence(TimePoint now)
{
    std::vector<InstanceId> lost;
    for (auto &[id, upstream] : m_upstreams) {
        if (!upstream.connected || upstream.incarnation == Incarnation()) {
            continue;
        }
        const Duration silence = now - upstream.lastHeartbeat;
        if (silence >= m_settings.lostAfter) {
            setConnected(id, false, now);
            lost.push_back(id);
        } else if (silence >= m_settings.suspectAfter && !upstream.suspected) {
            upstream.suspected = true;
            updateRoutable(upstream);
        }
    }
    return lost;
}

Upstream *UpstreamView::find(const InstanceId &agent)
{
    const auto entry = m_upstreams.find(agent);
    return entry == m_upstreams.end() ? nullptr : &entry->second;
}

const std::vector<Upstream *> &UpstreamView::modelSubset(const ModelName &model) const
{
    return membersOf(m_models, model);
}

const std::vector<Upstream *> &UpstreamView::serviceSubset(const ServiceName &service) const
{
    return membersOf(m_services, service);
}

std::size_t UpstreamView::liveCount(const ModelName &model) const
{
    const auto selector = m_models.find(model);
    return selector == m_models.end() ? 0 : selector->second.size();
}

bool UpstreamView::isInSubset(const Upstream &upstream) const
{
    const auto contains = [&](const std::vector<Upstream *> &members) {
        return std::ranges::find(members, &upstream) != members.end();
    };
    return std::ranges::any_of(upstream.load.models,
                               [&](const ModelName &model) {
                                   return contains(modelSubset(model));
                               })
        || std::ranges::any_of(upstream.load.services, [&](const ServiceName &service) {
               return contains(serviceSubset(service));
           });
}

std::map<InstanceId, Upstream> &UpstreamView::all()
{
    return m_upstreams;
}

Upstream &UpstreamView::findOrCreate(const InstanceId &agent)
{
    const auto [entry, added] = m_upstreams.try_emplace(agent);
    if (added) {
        entry->second.id = agent;
    }
    return entry->second;
}

void UpstreamView::updateRoutable(Upstream &upstream)
{
    const bool routable =
        upstream.connected && !upstream.suspected && !upstream.leaving && upstream.state == InstanceState::Ready;
    if (routable && !upstream.routable) {
        addToSelectors(upstream);
    } else if (!routable && upstream.routable) {
        removeFromSelectors(upstream);
    }
}

void UpstreamView::addToSelectors(Upstream &upstream)
{
    addTo(m_models, upstream.load.models, combineHashes(m_seed, ModelSalt), m_settings.subsetSize, upstream);
    addTo(m_services, upstream.load.services, combineHashes(m_seed, ServiceSalt), m_settings.subsetSize, upstream);
    upstream.routable = true;
}

void UpstreamView::removeFromSelectors(Upstream &upstream)
{
    if (upstream.routable) {
        removeFrom(m_models, upstream.load.models, upstream);
        removeFrom(m_services, upstream.load.services, upstream);
        upstream.routable = false;
    }
}

} // namespace ibismast
