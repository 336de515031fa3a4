#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>
#include <string>
#include <vector>

namespace ibismast
{

/// Another entry instance, as it says of itself.
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
    /// An entry that was silent for this long counts as gone. Entries say hello every 500 ms.
    Duration silence = std::chrono::milliseconds(2500);
    /// Hearsay about an entry is remembered for this long; it must be heard itself to count.
    Duration hearsay = std::chrono::seconds(10);
    /// Largest number of entries remembered.
    std::size_t maxMembers = 512;
};

/// Entries of the fleet that this entry hears. Membership is an estimate: it bounds retries and addresses messages, no
/// promise rests on it.
class MemberView
{
public:
    /// What a message revealed.
    enum class MembershipChange {
        None,
        Joined,
        /// The entry has started anew.
        Restarted,
    };

    explicit MemberView(const MemberViewSettings &settings);

    /// An entry was heard itself.
    MembershipChange messageReceived(const EntryMember &member, TimePoint now);
    /// Another entry names @p address; it is greeted until it answers or is forgotten.
    void addressReported(const std::string &address, TimePoint now);
    /// Forgets silent entries and returns them.
    [[nodiscard]] std::vector<InstanceId> expire(TimePoint now);

    /// Number of live entries without this one.
    [[nodiscard]] std::size_t otherCount() const
    {
        return m_members.size();
    }
    /// Addresses of the live entries.
    [[nodiscard]] std::vector<std::string> addresses() const;
    /// Addresses that were only named.
    [[nodiscard]] std::vector<std::string> unconfirmedAddresses() const;

private:
    struct Heard
    {
        EntryMember member;
        TimePoint last;
    };

    MemberViewSettings m_settings;
    std::map<InstanceId, Heard> m_members;
    std::map<std::string, TimePoint> m_named;
};

} // namespace ibismast
