#include "adapters/agentdaemon.h"

#include "adapters/plumbing/processclock.h"
#include "adapters/tlssettings.h"

namespace ibismast
{

using std::chrono::milliseconds;

AgentDaemonSettings readAgentSettings(SettingsFile &file)
{
    AgentDaemonSettings settings;
    settings.instance = InstanceId(file.text("instance", "id", std::nullopt));
    settings.domain = FailureDomain(file.text("instance", "domain", std::nullopt));
    settings.stop.drain =
        file.milliseconds("instance", "drain_ms", settings.stop.drain, milliseconds(0), milliseconds(600'000));
    settings.stop.timeout = file.milliseconds(
        "instance", "stop_timeout_ms", settings.stop.timeout, milliseconds(0), milliseconds(86'400'000));
    settings.process.tickInterval = file.milliseconds(
        "instance", "tick_interval_ms", settings.process.tickInterval, milliseconds(1), milliseconds(1000));
    settings.peerListen = readEndpoint(file, "peers", "listen", std::nullopt);
    settings.peerTls = readTls(file, "peers");
    if (!file.has("engine", "address") && !file.has("service", "address")) {
        file.refuse("engine", "address", {}, "set, unless [service] address is");
    }
    if (file.has("engine", "address")) {
        EngineClientSettings engine;
        engine.endpoint = readEndpoint(file, "engine", "address", std::nullopt);
        engine.loadInterval = file.milliseconds(
            "engine", "load_interval_ms", engine.loadInterval, milliseconds(10), milliseconds(60'000));
        engine.cacheInterval = file.milliseconds(
            "engine", "cache_interval_ms", engine.cacheInterval, milliseconds(10), milliseconds(60'000));
        engine.callTimeout =
            file.milliseconds("engine", "call_timeout_ms", engine.callTimeout, milliseconds(10), milliseconds(60'000));
        for (const std::string &model : file.list("engine", "models")) {
            settings.core.models.emplace_back(model);
        }
        settings.core.memoryCapacity = Tokens(
            file.integer("engine", "memory_capacity_tokens", settings.core.memoryCapacity.value(), 1, 1'000'000'000));
        settings.process.engine = engine;
    }
    if (file.has("service", "address")) {
        settings.process.service = readEndpoint(file, "service", "address", std::nullopt);
        settings.core.services = {ServiceName(file.text("service", "name", std::nullopt))};
    }
    settings.instances = readInstanceList(file);
    settings.store = readFleet(file);
    const Result<Success> valid = settings.core.validate();
    if (const Error *error = errorOf(valid)) {
        file.refuse("core", "settings", {}, error->message);
    }
    return settings;
}

AgentDaemon::AgentDaemon(AgentDaemonSettings settings, Incarnation incarnation, Supervisor::FailureHandler onFailure)
    : m_settings(std::move(settings))
    , m_listener(&m_metrics)
    , m_store(makeStoreClient(m_settings.store, incarnation))
    , m_fleet(makeConfigDriver(m_settings.store, self(incarnation), m_store.get(), &m_listener))
    , m_process(m_settings.process, m_settings.core, self(incarnation), incarnation.value(), &m_listener)
    , m_supervisor(SupervisorSettings(), processNow, std::move(onFailure))
{
    if (m_settings.peerTls) {
        m_process.server().setTls(*m_settings.peerTls);
    }
    if (m_fleet) {
        m_process.setConfigDriver(*m_fleet);
    }
    m_supervisor.add({"core",
                      [this] {
                          m_process.start();
                          return Success {};
                      },
                      [this] {
                          m_process.stop();
                      }});
    m_supervisor.add({"peers",
                      [this] {
                          const quint16 port = m_process.server().port();
                          return m_process.server().listen(m_settings.peerListen.address,
                                                           port != 0 ? port : m_settings.peerListen.port);
                      },
                      [this] {
                          m_process.server().stopAccepting();
                      }});
    if (m_fleet) {
        m_supervisor.add({"config",
                          [this] {
                              m_fleet->start();
                              return Success {};
                          },
                          [this] {
                              m_fleet->stop();
                          }});
    }
    if (m_fleet && m_settings.instances) {
        m_instances = std::make_unique<InstanceListClient>(*m_settings.instances,
                                                           [this](const std::vector<PeerSummary> &instances) {
                                                               m_fleet->setInstances(instances);
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
}

PeerSummary AgentDaemon::self(Incarnation incarnation) const
{
    const HttpEndpoint &listen = m_settings.peerListen;
    return {m_settings.instance,
            incarnation,
            InstanceRole::Agent,
            InstanceState::Ready,
            m_settings.domain,
            listen.address.toString().toStdString() + ':' + std::to_string(listen.port)};
}

const ConfigSource *AgentDaemon::config() const
{
    return m_fleet ? &m_fleet->config() : nullptr;
}

Result<Success> AgentDaemon::start()
{
    return m_supervisor.start();
}

bool AgentDaemon::isLeaving() const
{
    return m_process.isLeaving();
}

void AgentDaemon::beginShutdown()
{
    m_process.beginShutdown();
    if (m_fleet) {
        m_fleet->beginShutdown();
    }
}

std::size_t AgentDaemon::openWork()
{
    // The last messages of ended work must reach the peers too.
    return m_process.openWork() + (m_process.server().queuedBytes() > 0 ? 1 : 0);
}

void AgentDaemon::stop()
{
    m_supervisor.stop();
}

quint16 AgentDaemon::peerPort()
{
    return m_process.server().port();
}

} // namespace ibismast
