#include "adapters/agentprocess.h"

#include "adapters/configdriver.h"
#include "adapters/plumbing/processclock.h"

#include "ibismast/agent/agentcoresettings.h"
#include "ibismast/core/eventlistener.h"

namespace ibismast
{

AgentProcess::AgentProcess(const AgentProcessSettings &settings,
                           const AgentCoreSettings &coreSettings,
                           const PeerSummary &self,
                           std::uint64_t seed,
                           EventListener *listener)
    : m_settings(settings)
    , m_self(self)
    , m_listener(listener)
    , m_core(coreSettings, self, seed, listener)
    , m_loop([this](const AgentAction &action) {
        execute(action);
    })
    , m_server(settings.peers)
{
    if (settings.engine) {
        m_engine = std::make_unique<EngineClient>(*settings.engine, [this](const EngineEvent &event) {
            m_loop.feed([this, event](AgentActions &out) {
                m_core.handleEngine(event, processNow(), out);
            });
        });
    }
    if (settings.service) {
        m_service = std::make_unique<ServiceClient>(*settings.service, [this](const ServiceEvent &event) {
            m_loop.feed([this, event](AgentActions &out) {
                m_core.handleService(event, processNow(), out);
            });
        });
    }
    connect(&m_server, &PeerServer::frameReceived, this, [this](const PeerFrame &frame) {
        if (m_configDriver != nullptr && m_configDriver->handleFrame(frame)) {
            return;
        }
        m_loop.feed([this, frame](AgentActions &out) {
            m_core.handlePeer(frame, processNow(), out);
        });
    });
    connect(&m_server, &PeerServer::peerDisconnected, this, [this](const InstanceId &peer, const QString &reason) {
        if (m_listener != nullptr) {
            m_listener->onEvent("peer_disconnected", {{"peer", peer.value()}, {"reason", reason.toStdString()}});
        }
        if (m_configDriver != nullptr) {
            m_configDriver->peerDisconnected(peer);
        }
        m_loop.feed([this, peer](AgentActions &out) {
            m_core.peerDisconnected(peer, processNow(), out);
        });
    });
    connect(&m_server, &PeerServer::congestionChanged, this, [this](Incarnation peer, bool congested) {
        if (m_engine) {
            m_engine->setPaused(peer, congested);
        }
    });
    connect(&m_timer, &QTimer::timeout, this, [this] {
        followDrainDeclaration();
        m_loop.feed([this](AgentActions &out) {
            m_core.tick(processNow(), out);
        });
    });
}

void AgentProcess::setConfigDriver(ConfigDriver &driver)
{
    m_configDriver = &driver;
    driver.setSender([this](const InstanceId &receiver, const PeerMessage &message) {
        sendToPeer({receiver, message});
    });
}

PeerServer &AgentProcess::server()
{
    return m_server;
}

void AgentProcess::start()
{
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.tickInterval));
    if (m_engine) {
        m_engine->start();
    }
}

void AgentProcess::beginShutdown()
{
    m_leaving = true;
    m_loop.feed([this](AgentActions &out) {
        m_core.beginShutdown(processNow(), out);
    });
}

bool AgentProcess::isLeaving() const
{
    return m_leaving;
}

void AgentProcess::followDrainDeclaration()
{
    const bool declared =
        m_configDriver != nullptr && m_configDriver->config().declarations().draining.contains(m_self.instance);
    if (!declared || m_leaving) {
        return;
    }
    if (m_listener != nullptr) {
        m_listener->onEvent("drain_declared", {{"instance", m_self.instance.value()}});
    }
    beginShutdown();
}

std::size_t AgentProcess::openWork() const
{
    return m_core.openWork();
}

void AgentProcess::stop()
{
    m_timer.stop();
    m_server.stopAccepting();
    m_server.closeAll();
    if (m_engine) {
        m_engine->stop();
    }
    if (m_service) {
        m_service->stop();
    }
}

void AgentProcess::execute(const AgentAction &action)
{
    std::visit(Overloaded {[this](const SendToPeer &send) {
                               sendToPeer(send);
                           },
                           [this](const EngineCommand &command) {
                               if (m_engine) {
                                   m_engine->execute(command);
                               }
                           },
                           [this](const ServiceInvoke &call) {
                               if (m_service) {
                                   m_service->invoke(call);
                               }
                           }},
               action);
}

void AgentProcess::sendToPeer(const SendToPeer &action)
{
    const Revision revision = m_configDriver != nullptr ? m_configDriver->config().revision() : Revision(0);
    const PeerFrame frame {m_self.instance, m_self.incarnation, revision, action.message};
    const SendOutcome outcome = m_server.send(action.receiver, frame);
    if (outcome == SendOutcome::TooLarge && m_listener != nullptr) {
        m_listener->onEvent("message_too_large", {{"peer", action.receiver.value()}});
    }
}

} // namespace ibismast
