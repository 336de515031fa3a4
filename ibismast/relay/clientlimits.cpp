#include "ibismast/relay/clientlimits.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibismast
{

namespace
{

std::int64_t shareOf(std::int64_t bytes, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(bytes) * share);
}

} // namespace

std::string_view toString(GiveWayReason reason)
{
    switch (reason) {
    case GiveWayReason::LargestRequest:
        return "largest_request";
    case GiveWayReason::NewRequest:
        return "new_request";
    case GiveWayReason::StalledRequest:
        return "stalled_request";
    case GiveWayReason::UnreadResponses:
        return "unread_responses";
    case GiveWayReason::Connections:
        return "connections";
    }
    return "unknown";
}

ClientNumber ClientLimits::connected(const ClientAddress &address)
{
    const ClientNumber number(++m_lastNumber);
    Client &client = m_clients[number];
    client.address = address;
    client.lastChange = ++m_changes;
    ++m_addresses[address].connections;
    return number;
}

void ClientLimits::disconnected(ClientNumber client)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end()) {
        return;
    }
    update(client, {ClientPhase::Closing, 0, 0});
    const auto totals = m_addresses.find(found->second.address);
    if (--totals->second.connections == 0) {
        m_addresses.erase(totals);
    }
    m_clients.erase(found);
}

void ClientLimits::update(ClientNumber client, const ClientState &state)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end()) {
        return;
    }
    Client &entry = found->second;
    const ClientState former = std::exchange(entry.state, state);
    const std::int64_t growth = state.unfinished - former.unfinished;
    entry.lastChange = ++m_changes;
    m_unfinished += growth;
    m_unsent += state.unsent - former.unsent;
    if (growth != 0) {
        m_addresses[entry.address].unfinished += growth;
    }
    m_receiving += state.unfinished > 0 ? 1 : 0;
    m_receiving -= former.unfinished > 0 ? 1 : 0;
    if (state.unfinished == 0) {
        entry.lastUnfinished = 0;
        setReading(entry, true);
    }
    if (m_favoured == client && !large(entry)) {
        m_favoured.reset();
    }
    const bool becameLarge = large(entry) && former.unfinished <= m_settings.smallRequestBytes;
    if (becameLarge && unfinishedWithUnread() > shareOf(unfinishedLimit(), m_settings.refusalShare)) {
        m_refused.push_back(client);
    }
}

bool ClientLimits::mayRead(ClientNumber client)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end()) {
        return true;
    }
    Client &entry = found->second;
    if (!large(entry) || !isShort()) {
        setReading(entry, true);
        return true;
    }
    const std::int64_t fair =
        shareOf(unfinishedLimit(), m_settings.slowReadingShare) / static_cast<std::int64_t>(m_receiving);
    bool reading = entry.state.unfinished <= fair || m_favoured == client;
    if (!reading && !m_favoured) {
        chooseFavoured();
        reading = m_favoured == client;
    }
    setReading(entry, reading);
    return reading;
}

bool ClientLimits::mayStart(std::int64_t bytes) const
{
    const bool small = bytes <= 2 * m_settings.smallRequestBytes;
    return heldBytes() + bytes
        <= shareOf(m_settings.maxBytes, small ? m_settings.smallStartShare : m_settings.startShare);
}

std::vector<ClientNumber> ClientLimits::takeResumed()
{
    std::vector<ClientNumber> resumed;
    if (m_waiting == 0) {
        return resumed;
    }
    if (!m_favoured) {
        chooseFavoured();
    }
    if (!isShort()) {
        for (auto &[number, client] : m_clients) {
            if (!client.reading) {
                setReading(client, true);
                resumed.push_back(number);
            }
        }
    } else if (m_favoured && !m_clients.at(*m_favoured).reading) {
        setReading(m_clients.at(*m_favoured), true);
        resumed.push_back(*m_favoured);
    }
    return resumed;
}

std::optional<GivenWay> ClientLimits::nextToGiveWay()
{
    while (!m_refused.empty()) {
        const ClientNumber client = m_refused.back();
        m_refused.pop_back();
        const auto found = m_clients.find(client);
        if (found != m_clients.end() && large(found->second)) {
            return GivenWay {client, GiveWayReason::NewRequest};
        }
    }
    // Open requests may fill the account too. Clients that hold little then free nothing by giving way.
    const bool over = heldBytes() > m_settings.maxBytes;
    const bool requestsOver = unfinishedWithUnread() > unfinishedLimit();
    if (over || requestsOver) {
        const std::optional<ClientNumber> client = largestUnfinished();
        if (client && (requestsOver || m_clients.at(*client).state.unfinished > m_settings.smallRequestBytes)) {
            return GivenWay {*client, GiveWayReason::LargestRequest};
        }
    }
    const bool responsesOver = m_unsent > shareOf(m_settings.maxBytes, m_settings.unsentShare);
    if (over || responsesOver) {
        const std::optional<ClientNumber> client = largestUnsent();
        if (client && (responsesOver || m_clients.at(*client).state.unsent > m_settings.smallRequestBytes)) {
            return GivenWay {*client, GiveWayReason::UnreadResponses};
        }
    }
    return std::nullopt;
}

bool ClientLimits::needsAction() const
{
    const bool resumes = m_waiting > 0 && (!isShort() || !m_favoured || !m_clients.at(*m_favoured).reading);
    return resumes || !m_refused.empty() || heldBytes() > m_settings.maxBytes
        || unfinishedWithUnread() > unfinishedLimit()
        || m_unsent > shareOf(m_settings.maxBytes, m_settings.unsentShare);
}

std::optional<ClientNumber> ClientLimits::leastUseful() const
{
    const auto rank = [this](const auto &item) {
        const Client &client = item.second;
        const bool open = client.state.phase == ClientPhase::Answering;
        const auto others = m_addresses.at(client.address).connections;
        return std::tuple(open, m_clients.size() - others, client.state.phase, client.lastChange);
    };
    const auto found = std::ranges::min_element(m_clients, {}, rank);
    if (found == m_clients.end() || found->second.state.phase == ClientPhase::Answering) {
        return std::nullopt;
    }
    return found->first;
}

std::vector<GivenWay> ClientLimits::stalled()
{
    std::vector<GivenWay> result;
    if (m_receiving == 0) {
        return result;
    }
    for (auto &[number, client] : m_clients) {
        const bool still = client.state.unfinished == client.lastUnfinished;
        if (isShort() && client.reading && large(client) && still) {
            result.push_back({number, GiveWayReason::StalledRequest});
        }
        // One that is not read is given a whole interval from the moment at which it is read again.
        client.lastUnfinished = client.reading ? client.state.unfinished : 0;
    }
    return result;
}

std::int64_t ClientLimits::heldBytes() const
{
    return unfinishedWithUnread() + m_unsent + m_openRequests + m_buffered
        + static_cast<std::int64_t>(m_clients.size()) * m_settings.connectionBytes;
}

std::int64_t ClientLimits::unfinishedLimit() const
{
    return shareOf(m_settings.maxBytes, m_settings.unfinishedShare);
}

std::int64_t ClientLimits::unfinishedWithUnread() const
{
    return m_unfinished + static_cast<std::int64_t>(m_waiting) * m_settings.unreadBytes;
}

bool ClientLimits::isShort() const
{
    return unfinishedWithUnread() > shareOf(unfinishedLimit(), m_settings.slowReadingShare);
}

void ClientLimits::setReading(Client &client, bool reading)
{
    if (client.reading != reading) {
        client.reading = reading;
        m_waiting += reading ? -1 : 1;
    }
}

void ClientLimits::chooseFavoured()
{
    std::int64_t most = 0;
    for (const auto &[number, client] : m_clients) {
        if (large(client) && client.state.unfinished > most) {
            most = client.state.unfinished;
            m_favoured = number;
        }
    }
}

std::optional<ClientNumber> ClientLimits::largestUnfinished() const
{
    const auto size = [this](const auto &item) {
        const Client &client = item.second;
        const bool any = client.state.unfinished > 0;
        return std::tuple(any, any ? m_addresses.at(client.address).unfinished : 0, client.state.unfinished);
    };
    const auto found = std::ranges::max_element(m_clients, {}, size);
    if (found == m_clients.end() || found->second.state.unfinished == 0) {
        return std::nullopt;
    }
    return found->first;
}

std::optional<ClientNumber> ClientLimits::largestUnsent() const
{
    const auto size = [](const auto &item) {
        return item.second.state.unsent;
    };
    const auto found = std::ranges::max_element(m_clients, {}, size);
    if (found == m_clients.end() || found->second.state.unsent == 0) {
        return std::nullopt;
    }
    return found->first;
}

} // namespace ibismast
