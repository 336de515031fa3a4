#include "ibismast/agent/agentcore.h"

#include "ibismast/agent/dispatchhandler.h"
#include "ibismast/agent/enginereconciler.h"
#include "ibismast/agent/operationservice.h"
#include "ibismast/agent/orderrelay.h"
#include "ibismast/agent/peertable.h"

namespace ibismast
{

class AgentCore::Private
{
public:
    Private(const AgentCoreSettings &settings, PeerSummary self, EventListener *listener)
        : m_context {settings, std::move(self), listener}
        , m_runner(m_context)
        , m_groups(m_context, m_runner)
        , m_prefixes(settings.maxPrefixBlocks, settings.prefixDoubtLifetime)
        , m_dispatch(m_context, m_runner, m_groups, m_prefixes)
        , m_reconciler(m_context, m_runner)
        , m_operations(m_context)
        , m_orders(m_context)
        , m_peers(settings.peerTimeout, settings.disconnectGrace)
    {
    }

    void handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out);
    void handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out);
    void tick(TimePoint now, AgentActions &out);
    /// Cancels the attempts and reservations of a peer that is lost or was restarted.
    void cancelWorkOf(const InstanceId &peer, TimePoint now, AgentActions &out);
    void heartbeat(const InstanceId &peer, TimePoint now, AgentActions &out);
    void heartbeatAll(TimePoint now, AgentActions &out);
    void handleLoad(const EngineLoad &load);
    [[nodiscard]] LoadReport loadReport(TimePoint now) const;

    AgentContext m_context;
    AttemptRunner m_runner;
    GroupReservations m_groups;
    PrefixTracker m_prefixes;
    DispatchHandler m_dispatch;
    EngineReconciler m_reconciler;
    OperationService m_operations;
    OrderRelay m_orders;
    PeerTable m_peers;
    TimePoint m_nextHeartbeat {};
};

AgentCore::AgentCore(const AgentCoreSettings &settings,
                     PeerSummary self,
                     [[maybe_unused]] std::uint64_t seed,
                     EventListener *listener)
    : m_private(std::make_unique<Private>(settings, std::move(self), listener))
{
}

AgentCore::~AgentCore() = default;

void AgentCore::Private::handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out)
{
    switch (m_peers.recordFrame(frame.sender, frame.incarnation, now)) {
    case PeerTable::SenderStatus::Stale:
        m_context.log("stale_frame", {{"sender", frame.sender.value()}});
        if (const auto *request = std::get_if<DispatchRequest>(&frame.message)) {
            const Error error {ResultCode::WrongIncarnation,
                               "The frame was sent by an earlier incarnation of the sender.",
                               std::nullopt};
            sendTo(frame.sender, DispatchRefused {request->attempt, error, {}}, out);
        }
        return;
    case PeerTable::SenderStatus::Restarted:
        cancelWorkOf(frame.sender, now, out);
        [[fallthrough]];
    case PeerTable::SenderStatus::New:
        heartbeat(frame.sender, now, out);
        break;
    case PeerTable::SenderStatus::Known:
        break;
    }
    std::visit(Overloaded {
                   [&](const DispatchRequest &message) {
                       m_dispatch.dispatch(frame, message, now, out);
                   },
                   [&](const CancelAttempt &message) {
                       m_dispatch.cancel(frame, message, now, out);
                   },
                   [&](const ReserveMemory &message) {
                       m_dispatch.reserve(frame, message, now, out);
                   },
                   [&](const ReleaseReservation &message) {
                       m_groups.release(message.owner, frame.sender, now, out);
                   },
                   [&](const IssueOperations &message) {
                       m_operations.issue(frame, message, out);
                   },
                   [&](const OperationCall &message) {
                       m_operations.call(frame, message, now, out);
                   },
                   [&](const CancelOperation &message) {
                       m_operations.cancel(frame, message, now, out);
                   },
                   [&](const UpstreamOrder &message) {
                       m_orders.handle(frame, message, now, out);
                   },
                   [&](const Heartbeat &message) {
                       m_peers.updateSummary(message.self);
                   },
                   [](const auto &) {},
               },
               frame.message);
    m_runner.submitReady(now, out);
}

void AgentCore::Private::handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out)
{
    m_runner.advance(now);
    std::visit(Overloaded {
                   [&](const EngineTokens &message) {
                       m_runner.handleTokens(message, now, out);
                   },
                   [&](const EngineFinished &message) {
                       m_runner.handleFinished(message, now, out);
                   },
                   [&](const EngineSegmentExported &message) {
                       m_runner.handleExported(message, now, out);
                   },
                   [&](const EngineFailed &message) {
                       m_runner.handleFailed(message, now, out);
                   },
                   [&](const EngineCancelled &message) {
                       m_runner.handleCancelled(message, now);
                   },
                   [&](const EngineLoad &message) {
                       handleLoad(message);
                   },
                   [&](const EngineHeld &message) {
                       m_reconciler.handleHeld(message, now, out);
                   },
                   [&](const EngineCacheEvent &message) {
                       m_prefixes.handle(message, now);
                   },
                   [&](const EngineOrderResult &message) {
                       m_orders.handleResult(message, out);
                   },
                   [&](const EngineUp &) {
                       m_context.log("engine_up", {});
                       m_runner.setEngineUp(true);
                       m_prefixes.clear();
                       m_reconciler.handleEngineUp(now, out);
                   },
                   [&](const EngineDown &) {
                       m_context.log("engine_down", {});
                       m_runner.setEngineUp(false);
                       m_runner.handleEngineDown(now, out);
                       m_groups.handleEngineDown(out);
                       m_orders.handleEngineDown(out);
                       m_prefixes.clear();
                   },
                   [](const auto &) {},
               },
               event);
    m_runner.submitReady(now, out);
}

void AgentCore::Private::tick(TimePoint now, AgentActions &out)
{
    m_runner.advance(now);
    for (const InstanceId &peer : m_peers.takeExpired(now)) {
        cancelWorkOf(peer, now, out);
    }
    m_reconciler.tick(now, out);
    m_runner.tick(now, out);
    m_groups.tick(now, out);
    m_operations.tick(now, out);
    m_orders.tick(now, out);
    m_runner.submitReady(now, out);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_context.settings.heartbeatInterval;
        heartbeatAll(now, out);
    }
}

void AgentCore::Private::cancelWorkOf(const InstanceId &peer, TimePoint now, AgentActions &out)
{
    m_runner.cancelOwnedBy(peer, now, out);
    m_groups.releaseOwnedBy(peer);
}

void AgentCore::Private::heartbeat(const InstanceId &peer, TimePoint now, AgentActions &out)
{
    Heartbeat message;
    message.self = m_context.self;
    message.load = loadReport(now);
    message.peers = m_peers.sample(peer, m_context.settings.maxHeartbeatPeers);
    sendTo(peer, std::move(message), out);
}

void AgentCore::Private::heartbeatAll(TimePoint now, AgentActions &out)
{
    for (const InstanceId &peer : m_peers.peers()) {
        heartbeat(peer, now, out);
    }
}

void AgentCore::Private::handleLoad(const EngineLoad &load)
{
    if (load.memoryCapacity > Tokens(0)) {
        m_runner.memory().setCapacity(load.memoryCapacity);
    }
    m_runner.estimator().noteReportedRates(load.prefillRate, load.decodeRate);
    m_dispatch.setModels(load.models);
}

LoadReport AgentCore::Private::loadReport(TimePoint now) const
{
    LoadReport report;
    if (m_runner.engineUp()) {
        report.models = m_dispatch.models();
    }
    report.services = m_context.settings.services;
    report.outstanding = m_runner.outstanding();
    report.memoryCapacity = m_runner.schedule().maxAttemptMemory(PriorityClass::Huge);
    // Both memory figures state what a huge prompt can get, without the part that is reserved for shorter prompts.
    const Tokens shortReserve = m_runner.memory().capacity() - report.memoryCapacity;
    report.freeMemory = std::max(Tokens(0), m_runner.memory().free() - shortReserve);
    const EngineRates rates = m_runner.rates();
    report.prefillRate = rates.prefill;
    report.decodeRate = static_cast<double>(m_runner.decoding()) / toSeconds(rates.tokenInterval);
    report.cachedPrefixes = m_prefixes.newest(m_context.settings.maxReportedPrefixes, now);
    return report;
}

void AgentCore::handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out)
{
    m_private->handlePeer(frame, now, out);
}

void AgentCore::handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out)
{
    m_private->handleEngine(event, now, out);
}

void AgentCore::handleService(const ServiceEvent &event, TimePoint now, AgentActions &out)
{
    m_private->m_operations.handle(event, now, out);
}

void AgentCore::peerDisconnected(const InstanceId &peer, TimePoint now, [[maybe_unused]] AgentActions &out)
{
    m_private->m_peers.handleDisconnect(peer, now);
}

void AgentCore::tick(TimePoint now, AgentActions &out)
{
    m_private->tick(now, out);
}

void AgentCore::beginShutdown(TimePoint now, AgentActions &out)
{
    Private &d = *m_private;
    if (d.m_context.self.state == InstanceState::Leaving) {
        return;
    }
    d.m_context.self.state = InstanceState::Leaving;
    d.m_dispatch.setLeaving();
    d.m_operations.setLeaving();
    d.heartbeatAll(now, out);
    // Fail queued attempts and waiting reservations, so that the upstream gets no new work after this point and the
    // entries can retry elsewhere.
    const Error error {ResultCode::UpstreamLeaving, "The upstream is leaving.", std::nullopt};
    d.m_runner.failQueued(error, now, out);
    d.m_groups.refuseWaiting(error, out);
}

std::size_t AgentCore::openWork() const
{
    const Private &d = *m_private;
    return d.m_runner.attempts().live().size() + d.m_groups.size() + d.m_operations.running();
}

Tokens AgentCore::reservedMemory() const
{
    return m_private->m_runner.memory().reserved();
}

LoadReport AgentCore::loadReport(TimePoint now) const
{
    return m_private->loadReport(now);
}

} // namespace ibismast
