#pragma once

#include "ibismast/core/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibismast
{

/// Key with its value and revisions, as in the etcd v3 data model.
struct KeyValueRecord
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// Change of one key; a deletion has an empty value and its own revision.
struct KeyValueChange
{
    bool deleted = false;
    KeyValueRecord record;
};

/// Condition of a transaction.
struct KeyValueCompare
{
    enum class Target : std::uint8_t {
        ModRevision,
        CreateRevision,
        Version,
        Value,
    };
    enum class Relation : std::uint8_t {
        Equal,
        NotEqual,
        Greater,
        Less,
    };

    std::string key;
    Target target = Target::ModRevision;
    Relation relation = Relation::Equal;
    std::int64_t number = 0;
    std::string value;
};

/// Write of a transaction: put of `key`, or deletion of the range.
struct KeyValueWrite
{
    bool deletion = false;
    std::string key;
    std::string rangeEnd;
    std::string value;
    std::int64_t lease = 0;
};

/// Settings of a `KeyValueModel`.
struct KeyValueModelSettings
{
    /// Number of changes that watches can resume from.
    std::size_t historyLimit = 10'000;
};

/// Returns true if @p key lies in the range of @p begin and @p end: one key if the end is empty, all keys from the
/// begin on if it is one zero byte.
[[nodiscard]] bool inKeyRange(const std::string &key, const std::string &begin, const std::string &end);

/// Revisioned keys, leases and change history of one key-value service, without network or clock.
class KeyValueModel
{
public:
    explicit KeyValueModel(const KeyValueModelSettings &settings = {});

    /// Revision of the last change.
    [[nodiscard]] std::int64_t revision() const;
    /// Oldest revision that a watch can start from.
    [[nodiscard]] std::int64_t firstRevision() const;

    /// Returns the records of a range in key order.
    [[nodiscard]] std::vector<KeyValueRecord> range(const std::string &key, const std::string &rangeEnd) const;
    /// Returns true if @p compare holds.
    [[nodiscard]] bool holds(const KeyValueCompare &compare) const;
    /// Carries out all of @p writes under one new revision; fails without effect if a lease does not exist.
    Result<Success> apply(const std::vector<KeyValueWrite> &writes);

    /// Creates a lease; @p id 0 lets the model choose. Returns its id.
    std::int64_t grantLease(std::int64_t id, Duration timeToLive, TimePoint now);
    /// Extends a lease and returns its time to live, or zero if it does not exist.
    Duration keepLeaseAlive(std::int64_t id, TimePoint now);
    /// Ends a lease and deletes its keys; returns false if it does not exist.
    bool revokeLease(std::int64_t id);
    /// Ends the leases that are due at @p now.
    void expireLeases(TimePoint now);
    /// Ends all leases, as if their holders had been silent; returns their number.
    std::size_t lapseLeases();

    /// Returns the kept changes of a range from a revision on, in order.
    [[nodiscard]] std::vector<KeyValueChange>
    changes(const std::string &key, const std::string &rangeEnd, std::int64_t fromRevision) const;

private:
    struct Lease
    {
        Duration timeToLive {};
        TimePoint expiry;
        std::set<std::string> keys;
    };

    void detach(const KeyValueRecord &record);
    void remove(const std::string &key);
    void record(bool deleted, const KeyValueRecord &record);

    KeyValueModelSettings m_settings;
    std::int64_t m_revision = 1;
    std::int64_t m_firstRevision = 1;
    std::int64_t m_nextLease = 1;
    std::map<std::string, KeyValueRecord> m_records;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<KeyValueChange> m_history;
};

} // namespace ibismast
