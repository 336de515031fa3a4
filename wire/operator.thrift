// Calls of operators. ibismast/operator/operatormessages.h documents the fields.
// Transport: 4-byte frames, compact protocol. The server takes the operator's name and role from the TLS client
// certificate. Field numbers are part of the protocol: never reuse one, and add new fields as optional.

namespace cpp ibismast.wire.operators

// Call that was refused or failed. `code` is a result code of docs/ERRORS.md.
exception OperatorError {
  1: required i32 code
  2: required string name
  3: string message
  4: optional i64 retryAfter
}

struct Issue {
  1: string file
  2: i32 line
  3: string section
  4: string key
  5: string value
  6: string problem
  7: string allowed
}

struct Edit {
  1: required string object
  2: optional map<string, string> before
  3: optional map<string, string> after
}

struct Change {
  1: required i64 revision
  2: required string changeId
  3: string author
  4: string reason
  5: i64 time
  6: list<Edit> edits
}

// New values of an object; without `values` it is removed.
struct ObjectEdit {
  1: optional map<string, string> values
}

struct ObjectAtRevision {
  1: required map<string, string> values
  2: i64 version
}

struct PlanReply {
  1: required i64 revision
  2: required list<Edit> edits
  3: required map<string, i64> expected
  4: list<Issue> issues
}

struct ChangeReply {
  1: required i32 code
  2: required i64 revision
  3: list<Edit> edits
  4: list<Change> between
  5: list<Issue> issues
  6: string message
}

struct StatusReply {
  1: required i64 revision
  2: required i64 inForceHere
  3: bool ready
  4: bool relay
  5: bool storeAvailable
  6: i64 peers
  7: i64 peersInForce
  8: map<string, i64> lagging
}

struct AuditEntry {
  1: i64 time
  2: string who
  3: string role
  4: string action
  5: string changeId
  6: i64 fromRevision
  7: i64 toRevision
  8: i32 code
  9: string message
  10: string diff
}

struct HistoryReply {
  1: list<Change> changes
  2: list<AuditEntry> audit
}

struct ShowReply {
  1: required i64 revision
  2: required map<string, ObjectAtRevision> objects
}

service Operator {
  list<Issue> validate(1: map<string, string> files) throws (1: OperatorError error)
  PlanReply plan(1: map<string, string> files, 2: bool prune) throws (1: OperatorError error)
  ChangeReply apply(1: string changeId, 2: string reason, 3: map<string, ObjectEdit> edits,
                    4: map<string, i64> expected) throws (1: OperatorError error)
  StatusReply status(1: i64 revision) throws (1: OperatorError error)
  HistoryReply history(1: i32 limit, 2: bool audit) throws (1: OperatorError error)
  ShowReply show(1: i64 revision, 2: string prefix) throws (1: OperatorError error)
  ChangeReply rollback(1: string changeId, 2: string reason, 3: i64 revision) throws (1: OperatorError error)
  ChangeReply drain(1: string changeId, 2: string reason, 3: string instance, 4: bool undo)
      throws (1: OperatorError error)
}
