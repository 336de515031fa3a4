#include "UnitTests/harness/configfleet.h"

#include <algorithm>
#include <set>

namespace ibismast::harness
{

namespace
{

// Frame length, sender, incarnation and revision in the compact protocol, and 52 bytes of TCP and IP headers.
constexpr std::int64_t FrameBytes = 48 + 52;

} // namespace

std::int64_t wireBytes(const PeerMessage &message)
{
    std::int64_t bytes = FrameBytes;
    if (const auto *update = std::get_if<ConfigUpdate>(&message)) {
        bytes += static_cast<std::int64_t>(update->snapshot.size());
        for (const std::string &record : update->records) {
            bytes += static_cast<std::int64_t>(record.size()) + 4;
        }
    }
    return bytes;
}

ConfigChange drainChange(const std::string &id, const std::string &instance, std::string reason)
{
    ConfigChange change;
    change.changeId = id;
    change.author = "ana";
    change.edits["drain " + instance] = ObjectValues {{"reason", std::move(reason)}};
    return change;
}

ConfigFleet::ConfigFleet(const ConfigFleetSettings &settings)
    : m_settings(settings), m_random(settings.seed), m_store(settings.store)
{
    std::vector<std::set<std::size_t>> links(settings.nodes);
    for (std::size_t index = 0; index < settings.nodes; ++index) {
        for (std::size_t link = 0; link < std::min(settings.connections, settings.nodes - 1); ++link) {
            const std::size_t other = (index + 1 + m_random.below(settings.nodes - 1)) % settings.nodes;
            links[index].insert(other);
            links[other].insert(index);
        }
    }
    for (std::size_t index = 0; index < settings.nodes; ++index) {
        auto node = std::make_unique<ConfigNode>();
        node->self.instance = InstanceId("node-" + std::to_string(index));
        node->self.domain = FailureDomain("domain-" + std::to_string(index % settings.domains));
        m_indexOf[node->self.instance] = index;
        for (const std::size_t other : links[index]) {
            node->peers.emplace_back("node-" + std::to_string(other));
        }
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t index = 0; index < settings.nodes; ++index) {
        start(index);
    }
    publishMembers();
}

void ConfigFleet::start(std::size_t index)
{
    ConfigNode &node = *m_nodes[index];
    node.alive = true;
    node.self.incarnation = Incarnation(node.self.incarnation.value() + 1);
    // Each run numbers its calls from another start, so that answers to an earlier run are dropped.
    node.ids = StoreCallIds(static_cast<std::uint16_t>(index + 1), node.self.incarnation.value() << 32U);
    node.replica = ConfigReplica();
    node.relay = std::make_unique<ConfigRelay>(
        m_settings.relay, node.self, node.replica, node.ids, m_settings.seed * 100'003 + index);
    node.relay->setPeers(node.peers);
    node.log = std::make_unique<ConfigLog>(m_settings.log, node.replica, node.ids);
    node.gate = std::make_unique<StoreGate>(StoreGateSettings(), m_settings.seed * 7 + index);
    const auto offset = static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(m_settings.tick.count())));
    std::erase_if(m_ticks, [index](const auto &entry) {
        return entry.second == index;
    });
    m_ticks.emplace(m_now + Duration(offset), index);
}

void ConfigFleet::publishMembers()
{
    std::vector<PeerSummary> members;
    for (const auto &node : m_nodes) {
        if (node->alive) {
            members.push_back(node->self);
        }
    }
    for (const auto &node : m_nodes) {
        node->relay->setMembers(members);
    }
}

void ConfigFleet::passStoreCalls(std::size_t index, StoreCalls calls)
{
    StoreGate &gate = *m_nodes[index]->gate;
    for (StoreCall &call : calls) {
        gate.submit(std::move(call), m_now);
    }
    StoreCalls ready;
    StoreAnswers failures;
    gate.tick(m_now, ready, failures);
    for (const StoreCall &call : ready) {
        m_store.submit(call, m_now);
    }
    for (const StoreAnswer &failure : failures) {
        answerStore(failure);
    }
}

void ConfigFleet::carryOut(std::size_t index, ConfigRelayOutput &output, Revision before)
{
    ConfigNode &node = *m_nodes[index];
    m_neverWentBack = m_neverWentBack && node.replica.revision() >= before;
    for (ConfigSend &send : output.sends) {
        node.bytesSent += wireBytes(send.message);
        node.messagesSent += 1;
        const std::size_t receiver = m_indexOf.at(send.receiver);
        if (m_random.uniform() < m_settings.loss || (m_cut && m_cut(index, receiver))) {
            continue;
        }
        m_deliveries.emplace(
            m_now + m_settings.latency,
            Delivery {receiver,
                      {node.self.instance, node.self.incarnation, node.replica.revision(), std::move(send.message)}});
    }
    passStoreCalls(index, std::move(output.calls));
}

void ConfigFleet::deliver(std::size_t receiver, const PeerFrame &frame)
{
    if (!m_nodes[receiver]->alive) {
        return;
    }
    const Revision before = m_nodes[receiver]->replica.revision();
    ConfigRelayOutput output;
    m_nodes[receiver]->relay->handlePeer(frame, m_now, output);
    carryOut(receiver, output, before);
}

void ConfigFleet::answerStore(const StoreAnswer &answer)
{
    const std::size_t index = (answer.id.value() >> 48U) - 1;
    ConfigNode &node = *m_nodes[index];
    if (!node.alive) {
        return;
    }
    const Revision before = node.replica.revision();
    ConfigRelayOutput output;
    if (!node.relay->handleStore(answer, m_now, output)) {
        node.log->handle(answer, m_now, output.calls);
    }
    carryOut(index, output, before);
}

void ConfigFleet::tickNode(std::size_t index)
{
    ConfigNode &node = *m_nodes[index];
    const Revision before = node.replica.revision();
    ConfigRelayOutput output;
    node.log->tick(m_now, output.calls);
    node.relay->tick(m_now, output);
    carryOut(index, output, before);
    std::ranges::move(node.log->takeOutcomes(), std::back_inserter(node.outcomes));
}

void ConfigFleet::step()
{
    for (const StoreAnswer &answer : m_store.takeAnswers(m_now)) {
        const std::size_t index = (answer.id.value() >> 48U) - 1;
        if (m_nodes[index]->alive && m_nodes[index]->gate->accept(answer, m_now)) {
            answerStore(answer);
        }
    }
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
        const auto delivery = m_deliveries.extract(m_deliveries.begin());
        deliver(delivery.mapped().receiver, delivery.mapped().frame);
    }
    while (!m_ticks.empty() && m_ticks.begin()->first <= m_now) {
        const std::size_t index = m_ticks.begin()->second;
        m_ticks.erase(m_ticks.begin());
        if (m_nodes[index]->alive) {
            tickNode(index);
            m_ticks.emplace(m_now + m_settings.tick, index);
        }
    }
}

void ConfigFleet::run(Duration length)
{
    for (const TimePoint end = m_now + length; m_now < end;) {
        step();
        TimePoint next = end;
        if (!m_deliveries.empty()) {
            next = std::min(next, m_deliveries.begin()->first);
        }
        if (!m_ticks.empty()) {
            next = std::min(next, m_ticks.begin()->first);
        }
        next = std::min(next, m_store.nextEvent().value_or(next));
        m_now = std::max(next, m_now + Duration(1));
    }
}

std::optional<Duration> ConfigFleet::runUntilInForce(Revision revision, Duration limit)
{
    const TimePoint begin = m_now;
    const auto live = std::ranges::count_if(m_nodes, [](const auto &node) {
        return node->alive;
    });
    while (m_now < begin + limit) {
        if (static_cast<std::ptrdiff_t>(inForce(revision)) == live) {
            return m_now - begin;
        }
        run(std::chrono::milliseconds(1));
    }
    return std::nullopt;
}

void ConfigFleet::submit(std::size_t index, ConfigChange change)
{
    StoreCalls calls;
    m_nodes[index]->log->submit(std::move(change), m_now, calls);
    passStoreCalls(index, std::move(calls));
}

void ConfigFleet::kill(std::size_t index)
{
    m_nodes[index]->alive = false;
}

void ConfigFleet::restart(std::size_t index)
{
    start(index);
}

void ConfigFleet::setCut(std::function<bool(std::size_t, std::size_t)> cut)
{
    m_cut = std::move(cut);
}

FakeStore &ConfigFleet::store()
{
    return m_store;
}

ConfigNode &ConfigFleet::node(std::size_t index)
{
    return *m_nodes[index];
}

std::size_t ConfigFleet::size() const
{
    return m_nodes.size();
}

TimePoint ConfigFleet::now() const
{
    return m_now;
}

std::size_t ConfigFleet::inForce(Revision revision) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_nodes, [revision](const auto &node) {
        return node->alive && node->relay->ready() && node->replica.revision() >= revision;
    }));
}

bool ConfigFleet::neverWentBack() const
{
    return m_neverWentBack;
}

} // namespace ibismast::harness
