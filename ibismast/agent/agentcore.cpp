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
        , m_prefixes(settings.prefixBlocks, settings.prefixDoubtLifetime)
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
    /// Cancels what @p peer owns after it is gone or restarted.
    void releaseWorkOf(const InstanceId &peer, TimePoint now, AgentActions &out);
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
    switch (m_peers.heard(frame.sender, frame.incarnation, now)) {
    case PeerTable::Contact::Stale:
        m_context.log("stale_frame", {{"sender", frame.sender.value()}});
        if (const auto *request = std::get_if<DispatchRequest>(&frame.message)) {
            const Error error {ResultCode::WrongIncarnation, "The sender has been restarted since.", std::nullopt};
            sendTo(frame.sender, DispatchRefused {request->attempt, error, {}}, out);
        }
        return;
    case PeerTable::Contact::Restarted:
        releaseWorkOf(frame.sender, now, out);
        [[fallthrough]];
    case PeerTable::Contact::New:
        heartbeat(frame.sender, now, out);
        break;
    case PeerTable::Contact::Known:
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
                       m_peers.describe(message.self);
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
                       m_reconciler.engineUp(now, out);
                   },
                   [&](const EngineDown &) {
                       m_context.log("engine_down", {});
                       m_runner.setEngineUp(false);
                       m_runner.engineLost(now, out);
                       m_groups.engineLost(out);
                       m_orders.engineLost(out);
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
    for (const InstanceId &peer : m_peers.takeGone(now)) {
        releaseWorkOf(peer, now, out);
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

void AgentCore::Private::releaseWorkOf(const InstanceId &peer, TimePoint now, AgentActions &out)
{
    m_runner.cancelOwnedBy(peer, now, out);
    m_groups.releaseOwnedBy(peer);
}

void AgentCore::Private::heartbeat(const InstanceId &peer, TimePoint now, AgentActions &out)
{
    Heartbeat message;
    message.self = m_context.self;
    message.load = loadReport(now);
    message.peers = m_peers.sample(peer, m_context.settings.peerSample);
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
    report.memoryCapacity = m_runner.schedule().largestAttempt(PriorityClass::Huge);
    // What a long prompt can get; the part kept for short ones does not count in either figure.
    const Tokens keptForShort = m_runner.memory().capacity() - report.memoryCapacity;
    report.freeMemory = std::max(Tokens(0), m_runner.memory().free() - keptForShort);
    const EngineRates rates = m_runner.rates();
    report.prefillRate = rates.prefill;
    report.decodeRate = static_cast<double>(m_runner.decoding()) / toSeconds(rates.tokenInterval);
    report.cachedPrefixes = m_prefixes.newest(m_context.settings.prefixSample, now);
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
    m_private->m_peers.disconnected(peer, now);
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
    // What has not started is handed back, so that the upstream gets no work after this point.
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
