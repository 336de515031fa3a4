// Messages between entry instances that relay calls. Entries exchange them in datagrams, so any may be lost, repeated
// or late; the receiver must not depend on a single one.

namespace cpp ibismast.wire.relay

/// Reading that a call has put on one engine.
struct RelayReadShare {
    1: required string engine,
    2: required i64 readingUs,
    /// KV memory that is reserved on the engine.
    3: optional i64 memoryTokens,
}

/// Work that an entry has sent to engines for one call.
struct RelayPlacement {
    1: required i64 call,
    2: required string writer,
    3: required i64 pauseTargetUs,
    4: required i64 memoryTokens,
    5: required i64 expectedUs,
    6: required list<RelayReadShare> reads,
}

/// Attempt that broke off before the end of its answer and before its prompt was known to be sound.
struct RelayBrokenStart {
    /// Hash of the upstream's id and incarnation, and hash of the request.
    1: required i64 upstream,
    2: required i64 call,
    3: required list<i64> parts,
    4: required i64 ageMs,
    /// True if the head of the answer had arrived, but no event; absent means true.
    5: optional bool begun,
}

/// Prompt parts that are kept from the upstreams together, with the time since their last broken start.
struct RelayQuarantine {
    1: required list<i64> parts,
    2: required i64 ageMs,
}

/// Prompt part that is held to be sound, with the time since the last answer to a prompt that holds it.
struct RelaySoundPart {
    1: required i64 part,
    2: required i64 ageMs,
}

/// Rate limit of an upstream, and what the sender has sent to it.
struct RelayRateLimit {
    /// Hash of the upstream's id and incarnation.
    1: required i64 upstream,
    /// Requests a second that it takes from all entries together; absent if it has ended its limit.
    2: optional double perSecond,
    /// Time since a response of the upstream last said so.
    3: required i64 ageMs,
    /// Requests that the sender has sent since it has known the limit.
    4: required i64 sent,
}

/// Failure domains that the operators have evacuated, as of one revision of the store.
struct RelayEvacuations {
    1: required list<string> domains,
    2: required i64 revision,
    /// Era of the store in which they were read; absent if the store names none.
    3: optional i64 era,
}

/// Requests to an upstream that is cold, and how long it stays so.
struct RelayColdUpstream {
    /// Hash of the upstream's id and incarnation.
    1: required i64 upstream,
    /// Time until the upstream is warm, at the time of sending.
    2: required i64 remainingMs,
    /// Requests that the sender has sent since it has known that the upstream is cold.
    3: required i64 sent,
}

/// Concurrency that the sender's responses have shown an upstream to sustain.
struct RelayUpstreamPace {
    /// Hash of the upstream's id and incarnation.
    1: required i64 upstream,
    /// Share of the upstream's full concurrency, from 0 to 1.
    2: required double share,
    /// Time since the response that last changed the share.
    3: required i64 ageMs,
}

/// Work that an entry has sent to the engines of a service for one customer.
struct RelayCustomerWork {
    1: required string serviceName,
    2: required string customer,
    /// Predicted engine time of all calls sent since the sender has started.
    3: required i64 workUs,
    /// Predicted engine time of the calls that wait at the sender.
    4: optional i64 waitingUs,
}

/// One datagram from an entry to another.
struct RelayNews {
    1: required string entry,
    /// Differs between two runs of the entry.
    2: required i64 incarnation,
    /// Address at which the sender receives such datagrams.
    3: required string address,
    /// Addresses of some of the other entries that the sender hears; only in greetings.
    4: optional list<string> heard,
    /// Version of the configuration that the sender has in force; 0 if it has none.
    5: required i64 configVersion,
    /// Revision of the sender's list of upstreams; 0 if it has none.
    6: required i64 listRevision,
    7: optional list<RelayPlacement> placed,
    8: optional list<i64> ended,
    /// Address at which the sender hands out its copy of the platform's records.
    9: optional string copyAddress,
    /// Calls whose prompts have been read.
    10: optional list<i64> readCalls,
    /// Fingerprints of refused calls that may come back through another entry.
    11: optional list<i64> refused,
    /// Digest of the sender's list of upstreams without their reports, and time since the list was read.
    12: optional i64 listDigest,
    13: optional i64 listAgeMs,
    /// True while the sender waits at the store for a new configuration.
    14: optional bool awaitsConfig,
    /// Failure domain of the sender.
    15: optional string domain,
    /// Load of the engines in the sender's failure domain: share of the slots that are in use, and mean time that an
    /// engine needs for the prefill placed on it.
    16: optional double domainSlotUse,
    17: optional i64 domainBacklogUs,
    18: optional list<RelayBrokenStart> brokenStarts,
    19: optional list<RelayQuarantine> quarantines,
    20: optional list<RelaySoundPart> soundParts,
    21: optional list<RelayRateLimit> rateLimits,
    22: optional RelayEvacuations evacuations,
    23: optional list<RelayColdUpstream> coldUpstreams,
    24: optional list<RelayUpstreamPace> paces,
    25: optional list<RelayCustomerWork> customerWork,
}

/// Record of the platform's store as it was read.
struct RelayRecord {
    1: required string key,
    2: required binary value,
    3: required i64 revision,
    /// Era of the store in which it was read; absent if the store names none.
    4: optional i64 era,
}

/// Copy of the platform's records that one entry hands to another.
struct RelayCopy {
    1: optional RelayRecord config,
    2: required list<RelayRecord> upstreams,
    3: required i64 listRevision,
    /// Age of the list when the copy was made.
    4: required i64 listAgeMs,
    /// Era of the store in which the list was read; absent if the store names none.
    5: optional i64 listEra,
    6: optional RelayEvacuations evacuations,
}
