// Frames between the processes of ibismast. ibismast/core/messages.h documents the fields; units there apply here.
// Durations are in microseconds. Unsigned 64-bit numbers travel as i64 with the same bits.
// Field numbers are part of the protocol: never reuse one, and add new fields as optional.

namespace cpp ibismast.wire

struct RequestId {
  1: required i64 entry
  2: required i64 sequence
}

struct AttemptId {
  1: required RequestId request
  2: required i64 number
}

struct OperationId {
  1: required string agent
  2: required i64 incarnation
  3: required i64 number
}

struct Error {
  1: required i32 code
  2: string message
  3: optional i64 retryAfter
}

struct GroupSegment {
  1: required list<string> members
  2: required i64 index
  3: required i64 offset
  4: required i64 length
  5: string importHandle
}

struct DispatchRequest {
  1: required AttemptId attempt
  2: required string customer
  3: required double customerWeight
  4: required string model
  5: required i64 promptTokens
  6: required i64 maxOutputTokens
  7: required i64 timeLeft
  8: list<i64> prefixHashes
  9: i64 resumeFrom
  10: string resumeText
  11: bool chat
  12: required binary body
  13: optional GroupSegment group
}

struct DispatchAccepted {
  1: required AttemptId attempt
  2: i64 expectedFirstToken
}

struct DispatchRefused {
  1: required AttemptId attempt
  2: required Error error
  3: list<string> betterPlaces
}

struct StreamPart {
  1: required AttemptId attempt
  2: required i64 firstSequence
  3: required list<string> tokens
}

struct StreamEnd {
  1: required AttemptId attempt
  2: required i64 tokenCount
  3: string finishReason
}

struct SegmentExported {
  1: required AttemptId attempt
  2: required i64 index
  3: required string handle
}

struct AttemptFailed {
  1: required AttemptId attempt
  2: required Error error
  3: required bool mayHaveStarted
}

struct CancelAttempt {
  1: required AttemptId attempt
}

struct CancelResult {
  1: required AttemptId attempt
  2: required i32 outcome
}

struct ReserveMemory {
  1: required AttemptId owner
  2: required i64 amount
  3: required i64 expiresIn
  4: required i64 timeLeft
  5: required string model
}

struct ReserveResult {
  1: required AttemptId owner
  2: optional Error error
}

struct ReleaseReservation {
  1: required AttemptId owner
}

struct IssueOperations {
  1: required i64 call
  2: required i64 count
}

struct OperationsIssued {
  1: required i64 call
  2: required i64 first
  3: required i64 count
}

struct OperationCall {
  1: required OperationId operation
  2: required RequestId request
  3: required string customer
  4: required string serviceName
  5: required string method
  6: required string path
  7: string contentType
  8: required binary body
  9: required i64 timeLeft
  10: required bool idempotent
}

struct OperationResult {
  1: required OperationId operation
  2: required RequestId request
  3: required i32 outcome
  4: i32 httpStatus
  5: string contentType
  6: binary body
  7: optional Error error
}

struct CancelOperation {
  1: required OperationId operation
  2: required RequestId request
}

struct LoadReport {
  1: list<string> models
  2: list<string> services
  3: list<i64> outstanding
  4: i64 freeMemory
  5: i64 memoryCapacity
  6: double prefillRate
  7: double decodeRate
  8: list<i64> cachedPrefixes
}

struct PeerSummary {
  1: required string instance
  2: required i64 incarnation
  3: required i32 role
  4: required i32 state
  5: string domain
  6: string address
}

struct Heartbeat {
  1: required PeerSummary summary
  2: optional LoadReport load
  3: list<PeerSummary> peers
}

struct ConfigRequest {
  1: required i64 have
}

struct ConfigUpdate {
  1: required i64 fromRevision
  2: required i64 toRevision
  3: binary snapshot
  4: list<binary> records
}

struct UpstreamOrder {
  1: required i64 call
  2: required i64 token
  3: required string issuer
  4: required string shard
  5: required string verb
  6: string model
  7: string version
  8: string adapter
  9: string role
}

struct UpstreamOrderResult {
  1: required i64 call
  2: optional Error error
}

union PeerMessage {
  1: DispatchRequest dispatchRequest
  2: DispatchAccepted dispatchAccepted
  3: DispatchRefused dispatchRefused
  4: StreamPart streamPart
  5: StreamEnd streamEnd
  6: SegmentExported segmentExported
  7: AttemptFailed attemptFailed
  8: CancelAttempt cancelAttempt
  9: CancelResult cancelResult
  10: ReserveMemory reserveMemory
  11: ReserveResult reserveResult
  12: ReleaseReservation releaseReservation
  13: IssueOperations issueOperations
  14: OperationsIssued operationsIssued
  15: OperationCall operationCall
  16: OperationResult operationResult
  17: CancelOperation cancelOperation
  18: Heartbeat heartbeat
  19: ConfigRequest configRequest
  20: ConfigUpdate configUpdate
  21: UpstreamOrder upstreamOrder
  22: UpstreamOrderResult upstreamOrderResult
}

struct PeerFrame {
  1: required string sender
  2: required i64 incarnation
  3: required i64 configRevision
  4: required PeerMessage message
}
