#pragma once

#include "ibismast/core/result.h"
#include "ibismast/relay/upstreamdirectory.h"

namespace ibismast
{

/// Record of the platform's store as it was read. The value's format is the platform's.
struct StoredRecord
{
    std::string key;
    std::string value;
    /// Revision of the store at the record's last change.
    std::int64_t revision = 0;

    bool operator==(const StoredRecord &) const = default;
};

/// Records of all upstreams at one revision of the store.
struct StoredUpstreams
{
    std::vector<StoredRecord> records;
    std::int64_t revision = 0;
};

/// Reading of the configuration's record.
struct StoredConfig
{
    /// The record; nothing if there is none, or if a wait for a change has ended without one.
    std::optional<StoredRecord> record;
    /// Revision of the store for which this holds.
    std::int64_t revision = 0;
};

/// What one entry knows of the platform's records; entries hand it to each other while the store does not answer.
struct RecordCopy
{
    std::optional<StoredRecord> config;
    StoredUpstreams upstreams;
    /// Time since the upstreams were read.
    Duration age {};
};

/// What an entry tells others of the records that it has.
struct EntryRecordStatus
{
    /// Address at which it hands out its copy.
    std::string copyAddress;
    RelayConfigVersion configVersion;
    /// True while it waits at the store for a new configuration.
    bool awaitsConfig = false;
    /// Digest of its list of upstreams without their reports; lists with the same digest name the same upstreams.
    std::uint64_t listDigest = 0;
    /// Time since it read the list; nothing if it has none.
    std::optional<Duration> listAge;

    bool operator==(const EntryRecordStatus &) const = default;
};

/// Translates the platform's records into the product's types.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /// Returns the configuration in @p record, or why it cannot be read.
    [[nodiscard]] virtual Result<RelayConfig> decodeConfig(const StoredRecord &record) const = 0;
    /// Returns the upstream in @p record, or why it names none to use.
    [[nodiscard]] virtual Result<UpstreamRecord> decodeUpstream(const StoredRecord &record) const = 0;
};

} // namespace ibismast
