#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibismast
{

/// Another entry instance, as described by its own messages.
struct EntryMember
{
    InstanceId id;
    /// Differs between two runs of the same instance.
    Incarnation incarnation;
    /// Address for messages between entries, `ip:port`.
    std::string address;
    /// Empty if the entry's build does not report it. Such an entry counts as one of the own domain.
    FailureDomain domain;

    bool operator==(const EntryMember &) const = default;
};

/// Settings of a `MemberView`.
struct MemberViewSettings
{
    /// An entry from which no message has arrived for this long is removed. Entries send a heartbeat every 500 ms.
    Duration memberTimeout = std::chrono::milliseconds(2500);
    /// Time after which an address that was only reported by other entries is dropped unless the entry itself answers.
    Duration unconfirmedTimeout = std::chrono::seconds(10);
    /// Maximum number of members, and of unconfirmed addresses.
    std::size_t maxMembers = 4096;
    /// Interval between two heartbeats.
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Number of members of other domains that get one heartbeat. If there are more, they get heartbeats in turn, and
    /// their own heartbeats arrive at the same lower rate.
    std::size_t remoteHeartbeats = 12;
    /// Missed turns after which a member of another domain is removed, in addition to `memberTimeout`.
    int maxMissedTurns = 3;
    /// Number of members whose addresses one heartbeat reports.
    std::size_t reportedAddresses = 8;
};

/// The live entries of the fleet as seen by this entry. Membership is an estimate: it sizes the retry budget and
/// selects the recipients of messages, and correctness must not depend on it.
class MemberView
{
public:
    /// Change of the membership caused by a message.
    enum class MembershipChange {
        None,
        Joined,
        /// The entry runs under a new incarnation.
        Restarted,
    };

    explicit MemberView(const MemberViewSettings &settings, FailureDomain self = {});

    /// Records a message that @p member has sent itself, and returns what it changed.
    MembershipChange messageReceived(const EntryMember &member, TimePoint now);
    /// Records an address that a seed list or another entry has reported. Heartbeats are sent to it until the entry
    /// answers or the address expires.
    void addressReported(const std::string &address, TimePoint now);
    /// Removes members and unconfirmed addresses that have timed out, and returns the removed members. Members of other
    /// domains have more time if @p remoteInTurns is true, since they send heartbeats in turns.
    [[nodiscard]] std::vector<InstanceId> expire(TimePoint now, bool remoteInTurns = false);

    /// Number of live entries without this one.
    [[nodiscard]] std::size_t otherCount() const
    {
        return m_members.size();
    }
    /// Addresses of the live entries.
    [[nodiscard]] std::vector<std::string> addresses() const;
    /// Addresses of the live entries of the own domain.
    [[nodiscard]] std::vector<std::string> localAddresses() const;
    /// Addresses of the live entries of @p domain.
    [[nodiscard]] std::vector<std::string> addressesIn(const FailureDomain &domain) const;
    /// Returns the addresses of the members of other domains whose turn it is to get a heartbeat.
    [[nodiscard]] std::vector<std::string> nextRemoteAddresses();
    /// Returns the addresses that the next heartbeat reports, which changes from one to the next.
    [[nodiscard]] std::vector<std::string> nextReportedAddresses();
    /// Reported addresses from which no message has arrived yet.
    [[nodiscard]] std::vector<std::string> unconfirmedAddresses() const;

private:
    struct KnownMember
    {
        EntryMember member;
        TimePoint lastHeard;
    };

    [[nodiscard]] bool isLocal(const EntryMember &member) const;
    /// Returns the addresses of up to @p count members that follow @p cursor in the order of their ids and that
    /// @p accepts, and moves the cursor to the last of them.
    template<typename Filter>
    [[nodiscard]] std::vector<std::string> nextAddresses(InstanceId &cursor, std::size_t count, const Filter &accepts);

    MemberViewSettings m_settings;
    FailureDomain m_self;
    std::map<InstanceId, KnownMember> m_members;
    /// Members that got the last heartbeat for another domain and that were reported last.
    InstanceId m_lastRemote;
    InstanceId m_lastReported;
    /// Unconfirmed addresses and the times of their first report.
    std::map<std::string, TimePoint> m_unconfirmed;
};

} // namespace ibismast
