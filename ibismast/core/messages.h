#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/priorityclass.h"
#include "ibismast/core/result.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Messages between entries and agents. wire/ibismast.thrift holds the same structures for the network.
namespace ibismast
{

/// Body of a request, shared so that a large prompt is held once per process.
using SharedBody = std::shared_ptr<const std::string>;

/// Prompt tokens that each element of `DispatchRequest::prefixHashes` adds to the one before it.
inline constexpr Tokens PrefixBlockTokens {512};

/// Place of one member in a group of upstreams that serves a prompt larger than one engine.
struct GroupSegment
{
    /// Members in prefill order; the last one decodes.
    std::vector<InstanceId> members;
    /// Index of the addressed member in `members`.
    std::uint32_t index = 0;
    /// Prompt tokens before this segment.
    Tokens offset;
    /// Prompt tokens of this segment.
    Tokens length;
    /// Handle of the KV segment exported by the previous member; empty for the first one.
    std::string importHandle;

    bool operator==(const GroupSegment &) const = default;
};

/// Asks an agent to run one attempt of a completion.
struct DispatchRequest
{
    AttemptId attempt;
    CustomerId customer;
    /// Weight of the customer in fair sharing; 1 is the usual value.
    double customerWeight = 1.0;
    ModelName model;
    Tokens promptTokens;
    /// Upper bound of generated tokens.
    Tokens maxOutputTokens;
    /// Time until the caller's deadline, counted from the sending of the message.
    Duration timeLeft {};
    /// Hashes of the prompt's leading blocks, each over the whole prompt up to its end.
    std::vector<std::uint64_t> prefixHashes;
    /// Tokens that the caller already has; the answer continues behind them.
    std::uint64_t resumeFrom = 0;
    /// Text of those tokens, for an engine that has to prefill them again.
    std::string resumeText;
    /// True for the chat form of the body.
    bool chat = false;
    /// JSON body as the caller sent it.
    SharedBody body;
    std::optional<GroupSegment> group;
};

/// The agent has queued or started the attempt.
struct DispatchAccepted
{
    AttemptId attempt;
    /// Expected time until the first token.
    Duration expectedFirstToken {};
};

/// The agent refused the attempt; it was not run and will not be.
struct DispatchRefused
{
    AttemptId attempt;
    Error error;
    /// Agents that are likely to accept the attempt, best first.
    std::vector<InstanceId> betterPlaces;
};

/// Generated tokens of an attempt.
struct StreamPart
{
    AttemptId attempt;
    /// Position in the answer of the first token of this part, counted from 0 over all attempts.
    std::uint64_t firstSequence = 0;
    /// Text of each token.
    std::vector<std::string> tokens;
};

/// End marker of an answer.
struct StreamEnd
{
    AttemptId attempt;
    /// Number of tokens of the whole answer, over all attempts.
    std::uint64_t tokenCount = 0;
    /// `stop` or `length`.
    std::string finishReason;
};

/// The member of a group that is not the last one has finished its segment.
struct SegmentExported
{
    AttemptId attempt;
    std::uint32_t index = 0;
    /// Handle under which the next member imports the KV segment.
    std::string handle;
};

/// The attempt failed.
struct AttemptFailed
{
    AttemptId attempt;
    Error error;
    /// True if the upstream may have begun to run it.
    bool mayHaveStarted = true;
};

/// Asks the agent to stop an attempt, or to refuse it if it arrives later.
struct CancelAttempt
{
    AttemptId attempt;
};

/// What an agent can say of a cancelled attempt.
enum class CancelOutcome : std::uint8_t {
    /// The attempt had not started and a tombstone keeps it from starting later.
    NeverStarted,
    /// The attempt had started and is stopped now.
    Stopped,
    /// The attempt had ended before.
    AlreadyEnded,
};

/// Answer to `CancelAttempt`.
struct CancelResult
{
    AttemptId attempt;
    CancelOutcome outcome = CancelOutcome::Stopped;
};

/// Asks an agent to reserve KV memory for one member of a group.
struct ReserveMemory
{
    AttemptId owner;
    Tokens amount;
    /// The reservation ends by itself after this time.
    Duration expiresIn {};
    /// Time until the caller's deadline. The agent reserves only if the segment can be prefilled before it.
    Duration timeLeft {};
    ModelName model;
};

/// Answer to `ReserveMemory`; holds an error if nothing was reserved.
struct ReserveResult
{
    AttemptId owner;
    std::optional<Error> error;
};

/// Gives a reservation back.
struct ReleaseReservation
{
    AttemptId owner;
};

/// Asks an agent for a block of operation ids of a plain service.
struct IssueOperations
{
    std::uint64_t call = 0;
    std::uint32_t count = 0;
};

/// Answer to `IssueOperations`: ids `first` to `first + count - 1` of the sender's incarnation.
struct OperationsIssued
{
    std::uint64_t call = 0;
    std::uint64_t first = 0;
    std::uint32_t count = 0;
};

/// Call of a plain service under an operation id.
struct OperationCall
{
    OperationId operation;
    /// Identifies this delivery; retries of the same operation have other request ids.
    RequestId request;
    CustomerId customer;
    ServiceName service;
    std::string method;
    /// Path and query behind the service's prefix.
    std::string path;
    std::string contentType;
    SharedBody body;
    Duration timeLeft {};
    /// True if the call may be repeated.
    bool idempotent = false;
};

/// What is known of an operation.
enum class OperationOutcome : std::uint8_t {
    Completed,
    NotRun,
    Unknown,
    InProgress,
};

/// Answer to `OperationCall`.
struct OperationResult
{
    OperationId operation;
    RequestId request;
    OperationOutcome outcome = OperationOutcome::Unknown;
    /// Answer of the plain service if the outcome is `Completed`.
    int httpStatus = 0;
    std::string contentType;
    SharedBody body;
    /// Reason if the outcome is not `Completed`.
    std::optional<Error> error;
};

/// Asks an agent to make sure that an operation that has not started never starts.
struct CancelOperation
{
    OperationId operation;
    RequestId request;
};

/// Role of a process.
enum class InstanceRole : std::uint8_t {
    Entry,
    Agent,
};

/// State that an instance reports of itself.
enum class InstanceState : std::uint8_t {
    Starting,
    Ready,
    Leaving,
};

/// Load and memory of an upstream as its agent sees it.
struct LoadReport
{
    std::vector<ModelName> models;
    std::vector<ServiceName> services;
    /// Prefill and decode tokens that are queued or running, by class.
    PerClass<Tokens> outstanding {};
    Tokens freeMemory;
    Tokens memoryCapacity;
    /// Measured rates over all attempts, in tokens per second.
    double prefillRate = 0.0;
    double decodeRate = 0.0;
    /// Last hashes of cached prompt prefixes.
    std::vector<std::uint64_t> cachedPrefixes;
};

/// Short description of an instance that a heartbeat passes on.
struct PeerSummary
{
    InstanceId instance;
    Incarnation incarnation;
    InstanceRole role = InstanceRole::Entry;
    InstanceState state = InstanceState::Ready;
    FailureDomain domain;
    /// Address as `ip:port`.
    std::string address;
};

/// Periodic message that keeps an instance alive in its peers' tables.
struct Heartbeat
{
    PeerSummary self;
    std::optional<LoadReport> load;
    /// Bounded sample of other instances.
    std::vector<PeerSummary> peers;
};

/// Asks for the configuration behind a revision.
struct ConfigRequest
{
    Revision have;
};

/// Configuration records or a snapshot; the texts are encoded by `ibismast/config`.
struct ConfigUpdate
{
    /// Revision that the receiver must have to apply `records`; ignored if `snapshot` is set.
    Revision from;
    Revision to;
    std::string snapshot;
    std::vector<std::string> records;
};

/// Fenced order to an upstream, relayed by its agent.
struct UpstreamOrder
{
    std::uint64_t call = 0;
    FencingToken token;
    /// Actor that holds the lease.
    InstanceId issuer;
    /// Placement shard that the token belongs to.
    std::string shard;
    /// `load`, `unload` or `role`.
    std::string verb;
    ModelName model;
    std::string version;
    std::string adapter;
    std::string role;
};

/// Answer to `UpstreamOrder`; holds an error if the order was refused or failed.
struct UpstreamOrderResult
{
    std::uint64_t call = 0;
    std::optional<Error> error;
};

/// Any message between two processes of ibismast.
using PeerMessage = std::variant<DispatchRequest,
                                 DispatchAccepted,
                                 DispatchRefused,
                                 StreamPart,
                                 StreamEnd,
                                 SegmentExported,
                                 AttemptFailed,
                                 CancelAttempt,
                                 CancelResult,
                                 ReserveMemory,
                                 ReserveResult,
                                 ReleaseReservation,
                                 IssueOperations,
                                 OperationsIssued,
                                 OperationCall,
                                 OperationResult,
                                 CancelOperation,
                                 Heartbeat,
                                 ConfigRequest,
                                 ConfigUpdate,
                                 UpstreamOrder,
                                 UpstreamOrderResult>;

/// Message with its sender.
struct PeerFrame
{
    InstanceId sender;
    Incarnation incarnation;
    /// Newest configuration revision that the sender has in force.
    Revision configRevision;
    PeerMessage message;
};

} // namespace ibismast
