#include "ibismast/config/configrelay.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>

namespace ibismast
{

namespace
{

std::uint64_t relayScore(const InstanceId &instance, const FailureDomain &domain)
{
    return combineHashes(stableHash(instance.value()), stableHash(domain.value()));
}

} // namespace

Result<Success> ConfigRelaySettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "ConfigRelaySettings::" + field, std::nullopt};
    };
    if (relaysPerDomain == 0) {
        return invalid("relaysPerDomain must be positive");
    }
    if (fanOut == 0) {
        return invalid("fanOut must be positive");
    }
    if (startPeers == 0) {
        return invalid("startPeers must be positive");
    }
    for (const Duration interval : {antiEntropyInterval, requestTimeout, headReadInterval, retryPause, startTimeout}) {
        if (interval <= Duration::zero()) {
            return invalid("intervals must be positive");
        }
    }
    return Success();
}

std::vector<InstanceId>
chooseRelays(const std::vector<PeerSummary> &members, const FailureDomain &domain, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scores;
    for (const PeerSummary &member : members) {
        if (member.domain == domain && member.state != InstanceState::Leaving) {
            scores.emplace_back(relayScore(member.instance, domain), member.instance);
        }
    }
    std::ranges::sort(scores, std::greater<>());
    std::vector<InstanceId> relays;
    for (std::size_t index = 0; index < std::min(count, scores.size()); ++index) {
        relays.push_back(scores[index].second);
    }
    return relays;
}

ConfigRelay::ConfigRelay(const ConfigRelaySettings &settings,
                         const PeerSummary &self,
                         ConfigReplica &replica,
                         StoreCallIds &ids,
                         std::uint64_t seed)
    : m_settings(settings)
    , m_self(self)
    , m_replica(&replica)
    , m_ids(&ids)
    , m_random(seed)
    , m_reader(replica, ids)
    , m_pushed(replica.revision())
{
}

bool ConfigRelay::ready() const
{
    return m_ready;
}

bool ConfigRelay::isRelay() const
{
    return m_isRelay;
}

const std::map<InstanceId, Revision> &ConfigRelay::peerRevisions() const
{
    return m_peerRevisions;
}

void ConfigRelay::setMembers(const std::vector<PeerSummary> &members)
{
    const auto relays = chooseRelays(members, m_self.domain, m_settings.relaysPerDomain);
    m_isRelay = std::ranges::find(relays, m_self.instance) != relays.end();
}

void ConfigRelay::setPeers(std::vector<InstanceId> peers)
{
    std::erase(peers, m_self.instance);
    std::ranges::sort(peers);
    std::erase_if(m_peerRevisions, [&peers](const auto &entry) {
        return !std::ranges::binary_search(peers, entry.first);
    });
    m_peers = std::move(peers);
}

std::vector<InstanceId> ConfigRelay::somePeers(std::size_t count, Revision below)
{
    std::vector<InstanceId> candidates;
    for (const InstanceId &peer : m_peers) {
        const auto shown = m_peerRevisions.find(peer);
        if (shown == m_peerRevisions.end() || shown->second < below) {
            candidates.push_back(peer);
        }
    }
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index) {
        std::swap(candidates[index], candidates[index + m_random.below(candidates.size() - index)]);
    }
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

void ConfigRelay::request(const InstanceId &peer, TimePoint now, ConfigRelayOutput &out)
{
    m_requestedAt = now;
    out.sends.push_back({peer, ConfigRequest {m_replica->revision()}});
}

void ConfigRelay::requestNewest(TimePoint now, ConfigRelayOutput &out)
{
    std::vector<InstanceId> ahead;
    for (const auto &[peer, revision] : m_peerRevisions) {
        if (revision > m_replica->revision()) {
            ahead.push_back(peer);
        }
    }
    if (!ahead.empty()) {
        request(ahead[m_random.below(ahead.size())], now, out);
    }
}

void ConfigRelay::answer(const InstanceId &peer, Revision have, ConfigRelayOutput &out)
{
    // A process that is not ready must not make another one ready. A starting process (revision 0) needs an answer even
    // if there is nothing to send.
    if (m_ready && (have < m_replica->revision() || have == Revision())) {
        out.sends.push_back({peer, m_replica->updateSince(have)});
    }
}

void ConfigRelay::noteRevision(const PeerFrame &frame, TimePoint now, ConfigRelayOutput &out)
{
    if (std::ranges::binary_search(m_peers, frame.sender)) {
        // Assigned, not maximised: a restarted peer shows a lower revision and must be pushed to again.
        m_peerRevisions[frame.sender] = frame.configRevision;
    }
    const bool waiting = m_requestedAt && now < *m_requestedAt + m_settings.requestTimeout;
    if (frame.configRevision > m_replica->revision() && !waiting) {
        request(frame.sender, now, out);
    }
}

void ConfigRelay::handlePeer(const PeerFrame &frame, TimePoint now, ConfigRelayOutput &out)
{
    if (const auto *update = std::get_if<ConfigUpdate>(&frame.message)) {
        m_requestedAt.reset();
        m_replica->apply(*update);
        if (!m_ready) {
            m_startAnswers.insert(frame.sender);
            m_firstAnswer = m_firstAnswer.value_or(now);
        }
    } else if (const auto *question = std::get_if<ConfigRequest>(&frame.message)) {
        answer(frame.sender, question->have, out);
    }
    noteRevision(frame, now, out);
    updateReadiness(now);
    push(out);
}

void ConfigRelay::push(ConfigRelayOutput &out)
{
    const Revision revision = m_replica->revision();
    if (revision <= m_pushed) {
        return;
    }
    ConfigUpdate update = m_replica->updateSince(m_pushed);
    m_pushed = revision;
    std::size_t bytes = update.snapshot.size();
    for (const std::string &record : update.records) {
        bytes += record.size();
    }
    if (bytes > m_settings.pushBytes || update.to < revision) {
        // The frame carries the revision, so an empty update suffices to make the receiver ask.
        update = {revision, revision, {}, {}};
    }
    for (const InstanceId &peer : somePeers(m_settings.fanOut, revision)) {
        out.sends.push_back({peer, update});
    }
}

void ConfigRelay::askAtStart(TimePoint now, ConfigRelayOutput &out)
{
    if (m_ready || now < m_nextStartRequest) {
        return;
    }
    m_nextStartRequest = now + m_settings.requestTimeout;
    for (const InstanceId &peer : somePeers(m_settings.startPeers, Revision(INT64_MAX))) {
        request(peer, now, out);
    }
}

void ConfigRelay::updateReadiness(TimePoint now)
{
    if (m_ready || !m_firstAnswer) {
        return;
    }
    const bool enough = m_startAnswers.size() >= std::min(m_settings.startPeers, m_peers.size())
        || now >= *m_firstAnswer + m_settings.startTimeout;
    const bool newest = std::ranges::all_of(m_peerRevisions, [this](const auto &entry) {
        return entry.second <= m_replica->revision();
    });
    m_ready = enough && newest;
}

void ConfigRelay::tick(TimePoint now, ConfigRelayOutput &out)
{
    askAtStart(now, out);
    if (m_requestedAt && now >= *m_requestedAt + m_settings.requestTimeout) {
        m_requestedAt.reset();
        requestNewest(now, out);
    }
    if (now >= m_nextAntiEntropy) {
        // Jitter keeps processes that started together from asking together.
        const double factor = 0.75 + 0.5 * m_random.uniform();
        m_nextAntiEntropy = now + fromSeconds(toSeconds(m_settings.antiEntropyInterval) * factor);
        for (const InstanceId &peer : somePeers(m_ready ? 1 : 0, Revision(INT64_MAX))) {
            out.sends.push_back({peer, ConfigRequest {m_replica->revision()}});
        }
    }
    serveWatch(now, out);
    updateReadiness(now);
    push(out);
}

void ConfigRelay::serveWatch(TimePoint now, ConfigRelayOutput &out)
{
    if (!m_isRelay) {
        if (m_watch != StoreCallId()) {
            out.calls.push_back({m_ids->next(), StoreWatchCancel {m_watch}});
            m_watch = StoreCallId();
        }
        return;
    }
    if (now >= m_nextRead && !m_reader.busy()) {
        m_nextRead = now + m_settings.headReadInterval;
        m_reader.start(false, out.calls);
    }
}

void ConfigRelay::readingEnded(const ConfigLogReader::Reading &reading, TimePoint now, ConfigRelayOutput &out)
{
    if (!reading.failure.empty()) {
        const double factor = 0.5 + m_random.uniform();
        m_nextRead = now + fromSeconds(toSeconds(m_settings.retryPause) * factor);
        return;
    }
    m_ready = true;
    if (m_watch == StoreCallId() && m_isRelay) {
        m_watch = m_ids->next();
        m_watchFrom = reading.headRevision + StoreRevision(1);
        out.calls.push_back({m_watch, StoreWatch {std::string(ConfigHeadKey), std::string(ConfigLogEnd), m_watchFrom}});
    }
}

void ConfigRelay::handleWatch(const StoreOutcome &outcome, TimePoint now, ConfigRelayOutput &out)
{
    const auto *events = std::get_if<StoreWatchEvents>(&outcome);
    if (!events || events->ended) {
        m_watch = StoreCallId();
        m_nextRead = std::min(m_nextRead, now + m_settings.retryPause);
        return;
    }
    Revision head;
    for (const StoreEntry &entry : events->puts) {
        if (entry.key == ConfigHeadKey) {
            const auto decoded = decodeHead(entry.value);
            head = decoded ? decoded->revision : Revision();
        } else if (const auto records = splitSegment(entry.value)) {
            m_replica->applyRecords(*records);
        }
    }
    if (head > m_replica->revision()) {
        m_reader.start(false, out.calls);
    }
}

bool ConfigRelay::handleStore(const StoreAnswer &answer, TimePoint now, ConfigRelayOutput &out)
{
    if (m_reader.handle(answer, out.calls)) {
        if (const auto reading = m_reader.takeReading()) {
            readingEnded(*reading, now, out);
        }
    } else if (m_watch != StoreCallId() && answer.id == m_watch) {
        handleWatch(answer.outcome, now, out);
    } else {
        return false;
    }
    updateReadiness(now);
    push(out);
    return true;
}

} // namespace ibismast
