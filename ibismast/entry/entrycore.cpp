#include "ibismast/entry/entrycore.h"

#include "ibismast/entry/completionflow.h"

namespace ibismast
{

/// Connects the parts of an entry and gives each message to the part that it concerns.
class EntryCore::Private
{
public:
    Private(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener)
        : context(settings, std::move(self), seed, listener), completions(context)
    {
    }

    /// Carries out what is due, so that no message is handled for a request that is past its deadline.
    void runDue(TimePoint now, EntryActions &out)
    {
        completions.runDue(now, out);
    }

    void upstreamLost(const InstanceId &agent, TimePoint now, EntryActions &out)
    {
        context.report("upstream_lost", {{"upstream", agent.value()}});
        completions.upstreamLost(agent, now, out);
    }

    template<typename Message>
    void handle(const PeerFrame &frame, const Message &message, TimePoint now, EntryActions &out)
    {
        if constexpr (std::is_same_v<Message, DispatchAccepted>) {
            completions.handle(frame, message, now);
        } else if constexpr (requires { completions.handle(frame, message, now, out); }) {
            completions.handle(frame, message, now, out);
        }
    }

    void sendHeartbeats(TimePoint now, EntryActions &out)
    {
        std::set<InstanceId> receivers;
        completions.collectActive(receivers);
        for (const auto &[id, upstream] : context.upstreams.all()) {
            if (!upstream.connected) {
                continue;
            }
            // An agent that has not reported its load yet is not in any subset, but must learn of this entry.
            if (upstream.incarnation == Incarnation() || receivers.contains(id)
                || context.upstreams.isInSubset(upstream)) {
                sendHeartbeat(id, now, out);
            }
        }
    }

    void sendHeartbeat(const InstanceId &receiver, TimePoint now, EntryActions &out)
    {
        TimePoint &due = nextHeartbeat[receiver];
        if (now < due) {
            return;
        }
        const Duration interval = context.settings.heartbeatInterval;
        due = now + interval * 9 / 10 + fromSeconds(toSeconds(interval) * 0.2 * context.random.uniform());
        out.emplace_back(SendToPeer {receiver, Heartbeat {context.self, std::nullopt, {}}});
    }

    EntryContext context;
    CompletionFlow completions;
    std::map<InstanceId, TimePoint> nextHeartbeat;
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

RequestId EntryCore::callService(ServiceRequest request, // NOLINT(performance-unnecessary-value-param)
                                 TimePoint now,
                                 EntryActions &out)
{
    d->runDue(now, out);
    const RequestId id = d->context.nextRequest();
    out.emplace_back(DeliverFailure {
        id, Error {ResultCode::NoUpstream, "no live upstream serves the service", {}}, request.operation});
    return id;
}

RequestId
EntryCore::requestOperationId(const ServiceName &service, Duration /*timeLeft*/, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    const RequestId id = d->context.nextRequest();
    out.emplace_back(
        DeliverFailure {id, Error {ResultCode::NoUpstream, "no live upstream serves " + service.value(), {}}, {}});
    return id;
}

void EntryCore::callerLeft(const RequestId &request, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->completions.callerLeft(request, out);
}

void EntryCore::handlePeer(const PeerFrame &frame, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    const auto *heartbeat = std::get_if<Heartbeat>(&frame.message);
    if (heartbeat != nullptr && heartbeat->self.role != InstanceRole::Agent) {
        return;
    }
    switch (d->context.upstreams.noteFrame(frame.sender, frame.incarnation, now)) {
    case UpstreamView::Change::Stale:
        return;
    case UpstreamView::Change::Restarted:
        d->upstreamLost(frame.sender, now, out);
        break;
    case UpstreamView::Change::None:
        break;
    }
    if (heartbeat != nullptr) {
        d->context.upstreams.applyHeartbeat(*heartbeat, now);
        return;
    }
    std::visit(
        [&](const auto &message) {
            d->handle(frame, message, now, out);
        },
        frame.message);
}

void EntryCore::handleStore(const StoreAnswer & /*answer*/, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
}

void EntryCore::peerConnected(const InstanceId &peer, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.upstreams.setConnected(peer, true, now);
    d->nextHeartbeat.erase(peer);
    d->sendHeartbeat(peer, now, out);
    d->completions.upstreamConnected(peer, now, out);
}

void EntryCore::peerDisconnected(const InstanceId &peer, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.upstreams.setConnected(peer, false, now);
    d->upstreamLost(peer, now, out);
}

void EntryCore::instanceLeaving(const InstanceId &instance, TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.upstreams.markLeavingByList(instance, now);
}

void EntryCore::tick(TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    for (const InstanceId &agent : d->context.upstreams.checkSilence(now)) {
        d->upstreamLost(agent, now, out);
    }
    d->sendHeartbeats(now, out);
}

void EntryCore::beginShutdown(TimePoint now, EntryActions &out)
{
    d->runDue(now, out);
    d->context.shuttingDown = true;
    d->context.self.state = InstanceState::Leaving;
    d->nextHeartbeat.clear();
    d->sendHeartbeats(now, out);
}

std::size_t EntryCore::openRequests() const
{
    return d->completions.openRequests();
}

} // namespace ibismast
