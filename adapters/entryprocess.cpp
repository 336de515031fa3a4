#include "adapters/entryprocess.h"

#include "adapters/configdriver.h"
#include "adapters/plumbing/metrics.h"
#include "adapters/plumbing/processclock.h"

#include "ibismast/core/eventlistener.h"
#include "ibismast/entry/entrycoresettings.h"

#include <algorithm>

namespace ibismast
{

EntryProcess::EntryProcess(const EntryProcessSettings &settings,
                           const EntryCoreSettings &coreSettings,
                           const PeerSummary &self,
                           const ConfigSource &config,
                           std::uint64_t seed,
                           EventListener *listener,
                           Metrics *metrics)
    : m_settings(settings)
    , m_self(self)
    , m_config(config)
    , m_listener(listener)
    , m_metrics(metrics)
    , m_random(seed)
    , m_core(coreSettings, self, m_random.next(), listener)
    , m_loop([this](EntryAction &action) {
        execute(action);
    })
{
    connect(&m_timer, &QTimer::timeout, this, [this] {
        m_loop.feed([this](EntryActions &out) {
            m_core.tick(processNow(), out);
        });
    });
}

void EntryProcess::setTls(const QSslConfiguration &configuration)
{
    m_tls = configuration;
}

void EntryProcess::setStore(std::function<void(const StoreCall &call)> store)
{
    m_store = std::move(store);
}

void EntryProcess::setConfigDriver(ConfigDriver &driver)
{
    m_configDriver = &driver;
    driver.setSender([this](const InstanceId &receiver, const PeerMessage &message) {
        sendToPeer({receiver, message});
    });
}

void EntryProcess::storeAnswered(const StoreAnswer &answer)
{
    m_loop.feed([this, answer](EntryActions &out) {
        m_core.handleStore(answer, processNow(), out);
    });
}

void EntryProcess::setAgents(const std::vector<AgentAddress> &agents)
{
    for (auto link = m_links.begin(); link != m_links.end();) {
        // A list that lags or is empty by a fault must not interrupt requests: a connected agent stays.
        if (link->second.link->isConnected() || std::ranges::find(agents, link->second.address) != agents.end()) {
            ++link;
        } else {
            link = m_links.erase(link);
        }
    }
    for (const AgentAddress &agent : agents) {
        if (!m_links.contains(agent.instance)) {
            addLink(agent);
        }
    }
}

void EntryProcess::instanceLeaving(const InstanceId &instance)
{
    m_loop.feed([this, instance](EntryActions &out) {
        m_core.instanceLeaving(instance, processNow(), out);
    });
}

void EntryProcess::start()
{
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.tickInterval));
}

void EntryProcess::beginShutdown()
{
    m_shuttingDown = true;
    m_loop.feed([this](EntryActions &out) {
        m_core.beginShutdown(processNow(), out);
    });
}

std::size_t EntryProcess::openRequests() const
{
    return m_core.openRequests();
}

std::size_t EntryProcess::connectedAgents() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_links, [](const auto &entry) {
        return entry.second.link->isConnected();
    }));
}

void EntryProcess::stop()
{
    m_timer.stop();
    m_links.clear();
}

void EntryProcess::submit(CompletionRequest request, std::shared_ptr<CallerReply> reply)
{
    m_loop.feed([this, request = std::move(request), reply = std::move(reply)](EntryActions &out) mutable {
        const std::string requestClass(toString(classifyPrompt(request.promptTokens)));
        const RequestId id = m_core.submit(std::move(request), processNow(), out);
        m_open[id] = {reply, processNow(), requestClass, false};
        reply->started(id);
    });
}

void EntryProcess::callService(ServiceRequest request, std::shared_ptr<CallerReply> reply)
{
    m_loop.feed([this, request = std::move(request), reply = std::move(reply)](EntryActions &out) mutable {
        const RequestId id = m_core.callService(std::move(request), processNow(), out);
        m_open[id] = {reply, processNow(), "service", false};
        reply->started(id);
    });
}

void EntryProcess::requestOperationId(const ServiceName &service, Duration timeLeft, std::shared_ptr<CallerReply> reply)
{
    m_loop.feed([this, service, timeLeft, reply = std::move(reply)](EntryActions &out) {
        const RequestId id = m_core.requestOperationId(service, timeLeft, processNow(), out);
        m_open[id] = {reply, processNow(), "operation_id", false};
        reply->started(id);
    });
}

void EntryProcess::callerLeft(const RequestId &request)
{
    m_loop.feed([this, request](EntryActions &out) {
        if (take(request, "caller_left") != nullptr) {
            m_core.callerDisconnected(request, processNow(), out);
        }
    });
}

std::optional<Error> EntryProcess::refusal() const
{
    if (m_shuttingDown) {
        return Error {ResultCode::ShuttingDown, {}, std::nullopt};
    }
    if (!m_config.ready()) {
        return Error {ResultCode::NotReady, {}, std::nullopt};
    }
    if (connectedAgents() == 0) {
        return Error {ResultCode::NotReady, "no agent is connected", std::nullopt};
    }
    return std::nullopt;
}

void EntryProcess::addLink(const AgentAddress &address)
{
    Link &entry = m_links[address.instance];
    entry.address = address;
    entry.link = std::make_unique<PeerLink>(address.instance, m_settings.links, m_random.next());
    PeerLink *link = entry.link.get();
    const InstanceId peer = address.instance;
    connect(link, &PeerLink::connected, this, [this, peer] {
        if (m_configDriver != nullptr) {
            m_configDriver->peerConnected(peer);
        }
        m_loop.feed([this, peer](EntryActions &out) {
            m_core.peerConnected(peer, processNow(), out);
        });
    });
    connect(link, &PeerLink::disconnected, this, [this, peer](const QString &reason) {
        if (m_listener != nullptr) {
            m_listener->onEvent("peer_disconnected", {{"peer", peer.value()}, {"reason", reason.toStdString()}});
        }
        if (m_configDriver != nullptr) {
            m_configDriver->peerDisconnected(peer);
        }
        m_loop.feed([this, peer](EntryActions &out) {
            m_core.peerDisconnected(peer, processNow(), out);
        });
    });
    connect(link, &PeerLink::frameReceived, this, [this, peer](const PeerFrame &frame) {
        if (frame.sender != peer) {
            // Another process listens at this address now; the platform's list will say so.
            if (m_listener != nullptr) {
                m_listener->onEvent("peer_mismatch", {{"expected", peer.value()}, {"found", frame.sender.value()}});
            }
            return;
        }
        m_links.at(peer).incarnation = frame.incarnation;
        if (m_configDriver != nullptr && m_configDriver->handleFrame(frame)) {
            return;
        }
        m_loop.feed([this, frame](EntryActions &out) {
            m_core.handlePeer(frame, processNow(), out);
        });
    });
    if (m_tls) {
        link->setTls(*m_tls, QString::fromStdString(peer.value()));
    }
    link->open(address.address, address.port);
}

void EntryProcess::execute(EntryAction &action)
{
    std::visit(Overloaded {[this](const SendToPeer &send) {
                               sendToPeer(send);
                           },
                           [this](const StoreCall &call) {
                               if (m_store) {
                                   m_store(call);
                               } else {
                                   storeAnswered({call.id, StoreFailure {"no key-value service is configured", false}});
                               }
                           },
                           [this](const DeliverTokens &part) {
                               deliver(part);
                           },
                           [this](const DeliverEnd &end) {
                               if (const auto reply = take(end.request, "completed")) {
                                   reply->end(end);
                               }
                           },
                           [this](const DeliverFailure &failure) {
                               const auto name = resultCodeInfo(failure.error.code).name;
                               if (const auto reply = take(failure.request, name)) {
                                   reply->failure(failure);
                               }
                           },
                           [this](const DeliverServiceReply &answer) {
                               if (const auto reply = take(answer.request, "completed")) {
                                   reply->serviceReply(answer);
                               }
                           },
                           [this](const DeliverOperationId &operation) {
                               if (const auto reply = take(operation.request, "completed")) {
                                   reply->operationId(operation);
                               }
                           }},
               action);
}

void EntryProcess::sendToPeer(const SendToPeer &action)
{
    const auto link = m_links.find(action.receiver);
    if (link == m_links.end()) {
        return;
    }
    const PeerFrame frame {m_self.instance, m_self.incarnation, m_config.revision(), action.message};
    switch (link->second.link->send(frame)) {
    case SendOutcome::QueueFull:
        refuseLocally(action, {ResultCode::QueueFull, "the link to the agent is behind", std::nullopt});
        break;
    case SendOutcome::TooLarge:
        refuseLocally(action, {ResultCode::BodyTooLarge, "the request exceeds the frame limit", std::nullopt});
        break;
    case SendOutcome::Sent:
    case SendOutcome::NotConnected:
        break;
    }
}

void EntryProcess::refuseLocally(const SendToPeer &action, const Error &error)
{
    // The message was not sent, so the core may be told what an agent that refused it would say.
    std::optional<PeerMessage> answer;
    if (const auto *dispatch = std::get_if<DispatchRequest>(&action.message)) {
        answer = DispatchRefused {dispatch->attempt, error, {}};
    } else if (const auto *reserve = std::get_if<ReserveMemory>(&action.message)) {
        answer = ReserveResult {reserve->owner, error};
    } else if (const auto *call = std::get_if<OperationCall>(&action.message)) {
        answer = OperationResult {call->operation, call->request, OperationOutcome::NotRun, 0, {}, nullptr, error};
    }
    if (answer) {
        const PeerFrame frame {
            action.receiver, m_links.at(action.receiver).incarnation, Revision(0), std::move(*answer)};
        m_loop.feed([this, frame](EntryActions &out) {
            m_core.handlePeer(frame, processNow(), out);
        });
    }
}

void EntryProcess::deliver(const DeliverTokens &part)
{
    const auto open = m_open.find(part.request);
    if (open == m_open.end()) {
        return;
    }
    OpenRequest &request = open->second;
    if (m_metrics != nullptr) {
        if (!request.hasTokens) {
            m_metrics->observe("ibismast_first_token_seconds",
                               {{"class", request.requestClass}},
                               toSeconds(processNow() - request.started));
        }
        m_metrics->add("ibismast_tokens_total", {}, static_cast<double>(part.tokens.size()));
    }
    request.hasTokens = true;
    request.reply->tokens(part);
}

std::shared_ptr<CallerReply> EntryProcess::take(const RequestId &request, std::string_view outcome)
{
    const auto open = m_open.find(request);
    if (open == m_open.end()) {
        return nullptr;
    }
    const OpenRequest ended = std::move(open->second);
    m_open.erase(open);
    if (m_metrics != nullptr) {
        m_metrics->add("ibismast_requests_total", {{"class", ended.requestClass}, {"outcome", std::string(outcome)}});
        m_metrics->observe(
            "ibismast_request_seconds", {{"class", ended.requestClass}}, toSeconds(processNow() - ended.started));
    }
    return ended.reply;
}

} // namespace ibismast
