#include "ibismast/entry/entrycore.h"

#include "ibismast/entry/completionflow.h"
#include "ibismast/entry/heartbeatsender.h"
#include "ibismast/entry/serviceflow.h"

namespace ibismast
{

namespace
{

// Number of sweeps in one heartbeat interval.
constexpr int SweepsPerHeartbeat = 10;

} // namespace

/// Owns the components of an entry and passes each message to the component that handles it.
class EntryCore::Private
{
public:
    Private(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener)
        : context(settings, std::move(self), seed, listener)
        , completions(context)
        , services(context)
        , heartbeats(context)
    {
    }

    /// Handles expired timers. Called before every input, so that no message is handled for a request whose deadline
    /// has passed.
    void runDue(TimePoint now, EntryActions &out)
    {
        completions.runDue(now, out);
        services.runDue(now, out);
    }

    /// State of an upstream just before its loss.
    struct Loss
    {
        /// True if the agent was leaving, its connection was lost before, or it was unknown. Such a loss does
        /// not count as a failure and does not reduce admission.
        bool expected = true;
        std::vector<ModelName> models;
    };

    Loss describeLoss(const InstanceId &agent)
    {
        const Upstream *upstream = context.upstreams.find(agent);
        return upstream == nullptr ? Loss() : Loss {upstream->leaving || !upstream->connected, upstream->load.models};
    }

    void upstreamLost(const InstanceId &agent, const Loss &loss, TimePoint now, EntryActions &out)
    {
        if (!loss.expected) {
            context.health.noteLost(agent, context.upstreams.all().size(), now);
            for (const ModelName &model : loss.models) {
                context.capacity.noteLost(model, context.upstreams.liveCount(model), now);
            }
        }
        context.report("upstream_lost", {{"upstream", agent.value()}});
        completions.upstreamLost(agent, now, out);
        services.agentLost(agent, now, out);
    }

    template<typename Message>
    void handle(const PeerFrame &frame, const Message &message, TimePoint now, EntryActions &out)
    {
        if constexpr (std::is_same_v<Message, DispatchAccepted>) {
            completions.handle(frame, message, now);
        } else if constexpr (requires { completions.handle(frame, message, now, out); }) {
            completions.handle(frame, message, now, out);
        } else if constexpr (requires { services.handle(frame, message, now, out); }) {
            services.handle(frame, message, now, out);
        }
    }

    /// Periodic work: detects silent agents, removes expired refusals and sends heartbeats. Its cost grows with the
    /// number of known upstreams, so it is not done at every tick.
    void sweep(TimePoint now, EntryActions &out)
    {
        for (const InstanceId &agent : context.upstreams.checkSilence(now)) {
            const Upstream &upstream = *context.upstreams.find(agent);
            upstreamLost(agent, Loss {upstream.leaving, upstream.load.models}, now, out);
        }
        context.refusals.removeExpired(now);
        std::set<InstanceId> active;
        completions.table().collectActive(active);
        services.collectActive(active);
        heartbeats.send(active, now, out);
        nextSweep = now + context.settings.heartbeatInterval / SweepsPerHeartbeat;
    }

    EntryContext context;
    CompletionFlow completions;
    ServiceFlow services;
    HeartbeatSender heartbeats;
    TimePoint nextSweep = TimePoint::min();
};

EntryCore::EntryCore(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener)
    : d(std::make_unique<Private>(settings, std::move(self), seed, listener))
{
}

EntryCore::~EntryCore() = default;

RequestId EntryCore::submit(CompletionRequest request, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    return d->completions.submit(std::move(request), now, out);
}

RequestId EntryCore::callService(ServiceRequest request, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    return d->services.call(std::move(request), now, out);
}

RequestId EntryCore::requestOperationId(const ServiceName &service, Duration timeLeft, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    return d->services.requestOperationId(service, timeLeft, now, out);
}

void EntryCore::callerDisconnected(const RequestId &request, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->completions.callerDisconnected(request, out);
    d->services.callerDisconnected(request, out);
}

void EntryCore::handlePeer(const PeerFrame &frame, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    const auto *heartbeat = std::get_if<Heartbeat>(&frame.message);
    if (heartbeat != nullptr && heartbeat->self.role != InstanceRole::Agent) {
        return;
    }
    const Upstream *known = d->context.upstreams.find(frame.sender);
    Private::Loss loss;
    if (known != nullptr && known->incarnation != frame.incarnation) {
        loss = d->describeLoss(frame.sender);
    }
    switch (d->context.upstreams.noteFrame(frame.sender, frame.incarnation, now)) {
    case UpstreamView::Change::Stale:
        return;
    case UpstreamView::Change::Restarted:
        d->upstreamLost(frame.sender, loss, now, out);
        break;
    case UpstreamView::Change::None:
        break;
    }
    if (heartbeat != nullptr) {
        d->context.upstreams.applyHeartbeat(*heartbeat, now);
        Upstream &upstream = *d->context.upstreams.find(frame.sender);
        // Upstreams outside the subset are never selected; their cached prefixes would only displace useful ones from
        // the index.
        if (d->context.upstreams.isInSubset(upstream)) {
            d->context.prefixes.update(upstream, upstream.load.cachedPrefixes, now);
        }
        d->services.onAgentHeartbeat(upstream, now, out);
        return;
    }
    std::visit(
        [&](const auto &message) {
            d->handle(frame, message, now, out);
        },
        frame.message);
}

void EntryCore::handleStore(const StoreAnswer &answer, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->services.handleStore(answer, now, out);
}

void EntryCore::peerConnected(const InstanceId &peer, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.upstreams.setConnected(peer, true, now);
    d->heartbeats.sendNow(*d->context.upstreams.find(peer), now, out);
    d->completions.upstreamConnected(peer, now, out);
}

void EntryCore::peerDisconnected(const InstanceId &peer, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    const Private::Loss loss = d->describeLoss(peer);
    d->context.upstreams.setConnected(peer, false, now);
    d->upstreamLost(peer, loss, now, out);
}

void EntryCore::instanceLeaving(const InstanceId &instance, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.upstreams.markLeavingByList(instance, now);
}

void EntryCore::tick(TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    if (now >= d->nextSweep) {
        d->sweep(now, out);
    }
}

void EntryCore::beginShutdown(TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.shuttingDown = true;
    d->context.self.state = InstanceState::Leaving;
    d->heartbeats.makeAllDue();
    d->sweep(now, out);
}

std::size_t EntryCore::openRequests() const
{
    return d->completions.table().size() + d->services.openRequests();
}

} // namespace ibismast
