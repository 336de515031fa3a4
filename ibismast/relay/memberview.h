#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>
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
    std::size_t maxMembers = 512;
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

    explicit MemberView(const MemberViewSettings &settings);

    /// Records a message that @p member has sent itself, and returns what it changed.
    MembershipChange messageReceived(const EntryMember &member, TimePoint now);
    /// Records an address that a seed list or another entry has reported. Heartbeats are sent to it until the entry
    /// answers or the address expires.
    void addressReported(const std::string &address, TimePoint now);
    /// Removes members and unconfirmed addresses that have timed out, and returns the removed members.
    [[nodiscard]] std::vector<InstanceId> expire(TimePoint now);

    /// Number of live entries without this one.
    [[nodiscard]] std::size_t otherCount() const
    {
        return m_members.size();
    }
    /// Addresses of the live entries.
    [[nodiscard]] std::vector<std::string> addresses() const;
    /// Reported addresses from which no message has arrived yet.
    [[nodiscard]] std::vector<std::string> unconfirmedAddresses() const;

private:
    struct KnownMember
    {
        EntryMember member;
        TimePoint lastHeard;
    };

    MemberViewSettings m_settings;
    std::map<InstanceId, KnownMember> m_members;
    /// Unconfirmed addresses and the times of their first report.
    std::map<std::string, TimePoint> m_unconfirmed;
};

} // namespace ibismast
