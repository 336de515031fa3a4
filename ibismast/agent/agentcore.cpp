#include "ibismast/agent/agentcore.h"

#include "ibismast/agent/dispatchhandler.h"
#include "ibismast/agent/peertable.h"

namespace ibismast
{

class AgentCore::Private
{
public:
    Private(const AgentCoreSettings &settings, PeerSummary self, EventListener *listener)
        : m_context {settings, std::move(self), listener}
        , m_runner(m_context)
        , m_dispatch(m_context, m_runner)
        , m_peers(settings.peerTimeout, settings.disconnectGrace)
    {
    }

    void handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out);
    void handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out);
    void tick(TimePoint now, AgentActions &out);
    void heartbeat(const InstanceId &peer, TimePoint now, AgentActions &out);
    void heartbeatAll(TimePoint now, AgentActions &out);
    void handleLoad(const EngineLoad &load);
    [[nodiscard]] LoadReport loadReport() const;

    AgentContext m_context;
    AttemptRunner m_runner;
    DispatchHandler m_dispatch;
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
        m_runner.cancelOwnedBy(frame.sender, now, out);
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
                   [&](const EngineUp &) {
                       m_runner.setEngineUp(true);
                   },
                   [&](const EngineDown &) {
                       m_runner.setEngineUp(false);
                       m_runner.engineLost(now, out);
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
        m_runner.cancelOwnedBy(peer, now, out);
    }
    m_runner.tick(now, out);
    m_runner.submitReady(now, out);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_context.settings.heartbeatInterval;
        heartbeatAll(now, out);
    }
}

void AgentCore::Private::heartbeat(const InstanceId &peer, [[maybe_unused]] TimePoint now, AgentActions &out)
{
    Heartbeat message;
    message.self = m_context.self;
    message.load = loadReport();
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
    m_runner.estimator().engineReported(load.prefillRate, load.decodeRate);
    m_dispatch.setModels(load.models);
}

LoadReport AgentCore::Private::loadReport() const
{
    LoadReport report;
    report.models = m_dispatch.models();
    report.services = m_context.settings.services;
    report.outstanding = m_runner.outstanding();
    report.memoryCapacity = m_runner.schedule().largestAttempt(PriorityClass::Huge);
    report.freeMemory = std::min(m_runner.memory().free(), report.memoryCapacity);
    const EngineRates rates = m_runner.rates();
    report.prefillRate = rates.prefill;
    report.decodeRate = 1.0 / toSeconds(rates.tokenInterval);
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

void AgentCore::handleService([[maybe_unused]] const ServiceEvent &event,
                              [[maybe_unused]] TimePoint now,
                              [[maybe_unused]] AgentActions &out)
{
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
    m_private->m_context.self.state = InstanceState::Leaving;
    m_private->m_dispatch.setLeaving();
    const Error error {ResultCode::UpstreamLeaving, "The upstream is leaving.", std::nullopt};
    m_private->m_runner.failQueued(error, now, out);
    m_private->heartbeatAll(now, out);
}

std::size_t AgentCore::openWork() const
{
    return m_private->m_runner.attempts().live().size();
}

Tokens AgentCore::reservedMemory() const
{
    return m_private->m_runner.memory().reserved();
}

LoadReport AgentCore::loadReport([[maybe_unused]] TimePoint now) const
{
    return m_private->loadReport();
}

} // namespace ibismast
