#pragma once

#include "ibismast/core/result.h"
#include "ibismast/relay/domainevacuations.h"
#include "ibismast/relay/upstreamdirectory.h"

namespace ibismast
{

/// Record as read from the platform's store. The format of the value is defined by the platform.
struct StoredRecord
{
    std::string key;
    std::string value;
    /// Revision of the store at which the record was last modified, in the era in which it was read.
    RecordRevision revision;

    bool operator==(const StoredRecord &) const = default;
};

/// Records of all upstreams, read at one revision of the store.
struct StoredUpstreams
{
    std::vector<StoredRecord> records;
    RecordRevision revision;
};

/// Result of reading the operators' records: the configuration and the evacuated failure domains.
struct StoredConfig
{
    /// Empty if the record does not exist, or if a wait for a change has ended without one.
    std::optional<StoredRecord> record;
    /// Revision of the store at which the records were read.
    RecordRevision revision;
    /// Evacuated domains; empty if they were not read, or if this is the result of a wait.
    std::optional<std::set<FailureDomain>> evacuated {};
    /// Domains that were evacuated (true) or returned (false) during a wait.
    std::map<FailureDomain, bool> evacuationChanges {};
};

/// Parts of a `RecordCopy` that an entry asks for. The list of upstreams is always among them.
struct CopyContents
{
    /// The configuration is copied if its version is newer than this; empty if it is not needed. It may be large, and
    /// most copies are made for the list.
    std::optional<RelayConfigVersion> configAfter;

    bool operator==(const CopyContents &) const = default;
};

/// Records as last read by one entry. Entries fetch this copy from each other while the store is unavailable.
struct RecordCopy
{
    std::optional<StoredRecord> config;
    StoredUpstreams upstreams;
    /// Time since `upstreams` was read from the store.
    Duration age {};
    /// Empty if the entry does not know the evacuated domains.
    std::optional<EvacuatedDomains> evacuations {};
};

/// Summary of the records that an entry holds, sent to the other entries.
struct EntryRecordStatus
{
    /// Address from which other entries can fetch its `RecordCopy`.
    std::string copyAddress;
    RelayConfigVersion configVersion;
    /// True while the entry watches the store for a new configuration.
    bool awaitsConfig = false;
    /// Digest of its list of upstreams, without their load reports: equal digests mean the same set of upstreams.
    std::uint64_t listDigest = 0;
    /// Time since the list was read; empty if the entry has no list.
    std::optional<Duration> listAge;
    /// Failure domain of the entry; empty if it is not known.
    FailureDomain domain;
    /// Evacuated domains that the entry knows of; empty if the message does not carry them.
    std::optional<EvacuatedDomains> evacuations {};

    bool operator==(const EntryRecordStatus &) const = default;
};

/// Decodes the platform's records.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /// Returns the configuration in @p record, or an error if it cannot be decoded.
    [[nodiscard]] virtual Result<RelayConfig> decodeConfig(const StoredRecord &record) const = 0;
    /// Returns the upstream in @p record, or an error if the record does not describe a usable one.
    [[nodiscard]] virtual Result<UpstreamRecord> decodeUpstream(const StoredRecord &record) const = 0;
};

} // namespace ibismast
