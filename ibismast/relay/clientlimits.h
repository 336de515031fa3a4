#pragma once

#include "ibismast/core/strongtypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Number of a client's connection; later connections have larger numbers.
using ClientNumber = StrongInteger<struct ClientNumberTag, std::uint64_t>;
/// Address of a client without its port.
using ClientAddress = StrongString<struct ClientAddressTag>;

/// What a connection is doing, the least useful first.
enum class ClientPhase : std::uint8_t {
    /// The last response has been sent and the client has not closed its side yet.
    Closing,
    /// No byte has arrived.
    Silent,
    /// Waits for the next request.
    Idle,
    /// Part of a request has arrived.
    Receiving,
    /// A request is open or its response is being sent.
    Answering,
};

/// What a connection holds.
struct ClientState
{
    ClientPhase phase = ClientPhase::Silent;
    /// Bytes of the request that is being received.
    std::int64_t unfinished = 0;
    /// Bytes of responses that wait to be sent.
    std::int64_t unsent = 0;

    bool operator==(const ClientState &) const = default;
};

/// Settings of `ClientLimits`.
struct ClientLimitsSettings
{
    /// Maximum number of connections.
    std::size_t maxConnections = 3000;
    /// Maximum number of bytes that connections, requests and responses hold together.
    std::int64_t maxBytes = std::int64_t {256} << 20;
    /// Share of `maxBytes` for unfinished requests.
    double unfinishedShare = 0.5;
    /// Share of `maxBytes` for responses that wait to be sent.
    double unsentShare = 0.375;
    /// Share of `maxBytes` above which a finished request that is not small is refused, and the same for small ones.
    /// The rest is left for the connections and responses of the requests that have been taken.
    double startShare = 0.75;
    double smallStartShare = 0.9;
    /// Share of the limit for unfinished requests above which large ones are read no further, but for one.
    double slowReadingShare = 0.5;
    /// The same for the start of further large requests.
    double refusalShare = 0.75;
    /// Size up to which a request is small: it is always read.
    std::int64_t smallRequestBytes = std::int64_t {64} << 10;
    /// Estimated bytes of a connection without those of its messages.
    std::int64_t connectionBytes = std::int64_t {16} << 10;
    /// Bytes that the kernel may hold of a request that is not read.
    std::int64_t unreadBytes = std::int64_t {64} << 10;
};

/// Why a client gives way.
enum class GiveWayReason : std::uint8_t {
    /// Its unfinished request is the largest one.
    LargestRequest,
    /// A large request began while there was no room for it.
    NewRequest,
    /// Its large request stood still while memory was short.
    StalledRequest,
    /// Most bytes wait for it to read.
    UnreadResponses,
    /// All connections are in use, and it was the least useful.
    Connections,
};

/// Returns the name of @p reason in logs and metrics.
[[nodiscard]] std::string_view toString(GiveWayReason reason);

/// A client that gives way and the reason for it.
struct GivenWay
{
    ClientNumber client;
    GiveWayReason reason = GiveWayReason::LargestRequest;
};

/// Account of what clients hold at one instance, which decides who gives way when it is short.
///
/// Nothing binds while there is room. When memory is short, large unfinished requests are read no further, then no
/// further ones begin, then the largest ones give way, those of the address with most bytes first. Requests that have
/// been received completely are not given up.
class ClientLimits
{
public:
    explicit ClientLimits(const ClientLimitsSettings &settings) : m_settings(settings) { }

    /// Records a new connection.
    [[nodiscard]] ClientNumber connected(const ClientAddress &address);
    void disconnected(ClientNumber client);
    /// Records what a connection holds now.
    void update(ClientNumber client, const ClientState &state);
    /// The bytes of open requests, with the copies that are kept for retries, change by @p change.
    void openRequestsChanged(std::int64_t change)
    {
        m_openRequests += change;
    }
    /// Records the bytes of incomplete responses.
    void setBuffered(std::int64_t bytes)
    {
        m_buffered = bytes;
    }

    /// True if the connection is to be read now. A connection that is not is read again after `takeResumed`.
    [[nodiscard]] bool mayRead(ClientNumber client);
    /// True if a request that holds @p bytes while it is open may start.
    [[nodiscard]] bool mayStart(std::int64_t bytes) const;
    /// Returns the connections that are to be read again.
    [[nodiscard]] std::vector<ClientNumber> takeResumed();
    /// Returns the next client that must give way, or nothing if what is held is within the limits. It is expected to
    /// hold nothing afterwards.
    [[nodiscard]] std::optional<GivenWay> nextToGiveWay();
    /// True if `nextToGiveWay` or `takeResumed` may return something.
    [[nodiscard]] bool needsAction() const;
    /// Returns the connection that gives its place to a new one; empty if all have open requests.
    [[nodiscard]] std::optional<ClientNumber> leastUseful() const;
    /// Called at a regular interval. Returns the clients whose large requests have stood still since the last call
    /// though they are read, while memory is short.
    [[nodiscard]] std::vector<GivenWay> stalled();

    /// True if there is no place for a further connection.
    [[nodiscard]] bool full() const
    {
        return m_clients.size() >= m_settings.maxConnections;
    }
    [[nodiscard]] std::int64_t unfinishedBytes() const
    {
        return m_unfinished;
    }
    [[nodiscard]] std::int64_t openRequestBytes() const
    {
        return m_openRequests;
    }
    /// Everything that is held, with estimates for connections and unread bytes.
    [[nodiscard]] std::int64_t heldBytes() const;

private:
    struct Client
    {
        ClientAddress address;
        ClientState state;
        /// False while its request is not read.
        bool reading = true;
        /// Unfinished bytes at the last call of `stalled`.
        std::int64_t lastUnfinished = 0;
        /// Position of its last change among those of all clients.
        std::uint64_t lastChange = 0;
    };
    struct AddressTotals
    {
        std::size_t connections = 0;
        std::int64_t unfinished = 0;
    };

    [[nodiscard]] bool large(const Client &client) const
    {
        return client.state.unfinished > m_settings.smallRequestBytes;
    }
    [[nodiscard]] std::int64_t unfinishedLimit() const;
    /// Bytes of unfinished requests, also those that the kernel may hold.
    [[nodiscard]] std::int64_t unfinishedWithUnread() const;
    /// True while large requests are read slowly.
    [[nodiscard]] bool isShort() const;
    void setReading(Client &client, bool reading);
    /// Chooses the large request that is read while the others wait: the one that has most bytes.
    void chooseFavoured();
    [[nodiscard]] std::optional<ClientNumber> largestUnfinished() const;
    [[nodiscard]] std::optional<ClientNumber> largestUnsent() const;

    ClientLimitsSettings m_settings;
    std::map<ClientNumber, Client> m_clients;
    std::map<ClientAddress, AddressTotals> m_addresses;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_changes = 0;
    std::int64_t m_unfinished = 0;
    std::int64_t m_unsent = 0;
    std::int64_t m_openRequests = 0;
    std::int64_t m_buffered = 0;
    std::size_t m_receiving = 0;
    std::size_t m_waiting = 0;
    /// Large request that is read although memory is short.
    std::optional<ClientNumber> m_favoured;
    /// Clients whose request grew large while there was no room.
    std::vector<ClientNumber> m_refused;
};

/// Counts the bytes of an open request for as long as it exists.
class HeldRequest
{
public:
    HeldRequest(ClientLimits &limits, std::int64_t bytes) : m_limits(&limits), m_bytes(bytes)
    {
        m_limits->openRequestsChanged(m_bytes);
    }
    ~HeldRequest()
    {
        m_limits->openRequestsChanged(-m_bytes);
    }
    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;

private:
    ClientLimits *m_limits;
    std::int64_t m_bytes;
};

} // namespace ibismast
