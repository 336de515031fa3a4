#include "adapters/entrydaemon.h"

#include "adapters/plumbing/processclock.h"
#include "adapters/storecallranges.h"

#include <algorithm>

namespace ibismast
{

EntryDaemon::EntryDaemon(EntryDaemonSettings settings,
                         std::unique_ptr<ConfigSource> config,
                         Incarnation incarnation,
                         Supervisor::FailureHandler onFailure)
    : m_settings(std::move(settings))
    , m_config(std::move(config))
    , m_listener(&m_metrics)
    , m_store(makeStoreClient(m_settings.store, incarnation))
    , m_fleet(makeConfigDriver(m_settings.store, self(incarnation), m_store.get(), &m_listener))
    , m_process(m_settings.process,
                m_settings.core,
                self(incarnation),
                this->config(),
                incarnation.value(),
                &m_listener,
                &m_metrics)
    , m_supervisor(SupervisorSettings(), processNow, std::move(onFailure))
    , m_httpPort(m_settings.httpListen.port)
{
    if (m_settings.peerTls) {
        m_process.setTls(*m_settings.peerTls);
    }
    if (m_fleet) {
        m_operators =
            std::make_unique<OperatorDriver>(OperatorServiceSettings(),
                                             m_settings.instance.value() + '/' + std::to_string(incarnation.value()),
                                             *m_fleet,
                                             *m_store,
                                             &m_auditLog);
        m_process.setConfigDriver(*m_fleet);
        m_process.setStore([this](const StoreCall &call) {
            m_store->execute(call);
        });
        m_store->setHandler(StoreCallRanges::Claims, [this](const StoreAnswer &answer) {
            m_process.storeAnswered(answer);
        });
    }
    addParts();
}

PeerSummary EntryDaemon::self(Incarnation incarnation) const
{
    return {m_settings.instance, incarnation, InstanceRole::Entry, InstanceState::Ready, m_settings.domain, {}};
}

const ConfigSource &EntryDaemon::config() const
{
    return m_fleet ? static_cast<const ConfigSource &>(m_fleet->config()) : *m_config;
}

quint16 EntryDaemon::operatorPort() const
{
    return m_operatorPort;
}

OperatorDriver *EntryDaemon::operators()
{
    return m_operators.get();
}

Result<Success> EntryDaemon::start()
{
    return m_supervisor.start();
}

void EntryDaemon::beginShutdown()
{
    m_process.beginShutdown();
    if (m_fleet) {
        m_fleet->beginShutdown();
    }
}

std::size_t EntryDaemon::openRequests() const
{
    // The last bytes of ended requests must reach the callers too.
    const std::size_t requests = std::max(m_process.openRequests(), m_front ? m_front->guard().answeringCount() : 0);
    return requests + (m_operators ? m_operators->openCalls() : 0);
}

void EntryDaemon::stop()
{
    m_supervisor.stop();
}

quint16 EntryDaemon::httpPort() const
{
    return m_httpPort;
}

EntryProcess &EntryDaemon::process()
{
    return m_process;
}

void EntryDaemon::addParts()
{
    m_supervisor.add({"core",
                      [this] {
                          m_process.start();
                          m_process.setAgents(m_settings.agents);
                          return Success {};
                      },
                      [this] {
                          m_process.stop();
                      }});
    if (m_fleet) {
        m_supervisor.add({"config",
                          [this] {
                              m_fleet->start();
                              m_operators->start();
                              return Success {};
                          },
                          [this] {
                              m_operators->stop();
                              m_fleet->stop();
                          }});
    }
    if (m_fleet && m_settings.operators) {
        m_operatorPort = m_settings.operators->listen.port;
        m_supervisor.add({"operators",
                          [this] {
                              m_operatorServer = std::make_unique<OperatorServer>(*m_settings.operators, *m_operators);
                              Result<Success> result = m_operatorServer->listen(m_operatorPort);
                              m_operatorPort = m_operatorServer->port();
                              return result;
                          },
                          [this] {
                              m_operatorServer.reset();
                          }});
    }
    if (m_settings.instances) {
        m_instances = std::make_unique<InstanceListClient>(*m_settings.instances,
                                                           [this](const std::vector<PeerSummary> &instances) {
                                                               onInstances(instances);
                                                           });
        m_supervisor.add({"instances",
                          [this] {
                              m_instances->start();
                              return Success {};
                          },
                          [this] {
                              m_instances->stop();
                          }});
    }
    m_supervisor.add({"http",
                      [this]() -> Result<Success> {
                          m_front = std::make_unique<HttpFront>(
                              m_settings.http,
                              m_process,
                              config(),
                              [this] {
                                  return metricsText();
                              },
                              processNow);
                          if (m_settings.httpTls) {
                              m_front->setTls(*m_settings.httpTls);
                          }
                          // Out of descriptors, Qt's server stops accepting for good; a restart resumes it.
                          QObject::connect(
                              &m_front->guard(),
                              &QTcpServer::acceptError,
                              &m_process,
                              [this] {
                                  m_supervisor.partFailed("http", m_front->guard().errorString().toStdString());
                              },
                              Qt::QueuedConnection);
                          Result<Success> result = m_front->listen(m_settings.httpListen.address, m_httpPort);
                          m_httpPort = m_front->port();
                          return result;
                      },
                      [this] {
                          m_front.reset();
                      }});
}

void EntryDaemon::onInstances(const std::vector<PeerSummary> &instances)
{
    if (m_fleet) {
        m_fleet->setInstances(instances);
    }
    std::vector<AgentAddress> agents = m_settings.agents;
    for (const PeerSummary &instance : instances) {
        if (instance.role != InstanceRole::Agent) {
            continue;
        }
        const HttpEndpoint endpoint = parseEndpoint(instance.address).value_or(HttpEndpoint {});
        agents.push_back({instance.instance, endpoint.address, endpoint.port});
    }
    m_process.setAgents(agents);
    for (const PeerSummary &instance : instances) {
        if (instance.state == InstanceState::Leaving) {
            m_process.instanceLeaving(instance.instance);
        }
    }
}

std::string EntryDaemon::metricsText()
{
    m_metrics.set("ibismast_open_requests", {}, static_cast<double>(m_process.openRequests()));
    m_metrics.set("ibismast_connected_agents", {}, static_cast<double>(m_process.connectedAgents()));
    m_metrics.set("ibismast_http_connections", {}, static_cast<double>(m_front->guard().connectionCount()));
    return m_metrics.text();
}

} // namespace ibismast
