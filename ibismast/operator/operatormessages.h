#pragma once

#include "ibismast/config/audittrail.h"
#include "ibismast/config/configissue.h"
#include "ibismast/core/result.h"

/// Calls of operators and their replies. wire/operator.thrift holds the same structures for the network.
namespace ibismast
{

/// What an operator may do; each role includes the ones before it.
enum class OperatorRole : std::uint8_t {
    /// Validate, plan, status, history, show.
    Viewer,
    /// Apply and drain.
    Editor,
    /// Roll back.
    Admin,
};

/// Returns `viewer`, `editor` or `admin`.
[[nodiscard]] std::string_view toString(OperatorRole role);
/// Returns the role of that name, if there is one.
[[nodiscard]] std::optional<OperatorRole> parseOperatorRole(std::string_view name);

/// Sender of a call, as its client certificate names it.
struct OperatorIdentity
{
    std::string name;
    OperatorRole role = OperatorRole::Viewer;
};

using OperatorCallId = StrongInteger<struct OperatorCallIdTag, std::uint64_t>;

/// Contents of declaration files by name.
using DeclarationFiles = std::map<std::string, std::string>;

/// Checks files by themselves.
struct ValidateCall
{
    DeclarationFiles files;
};

/// Compares files with the configuration in force.
struct PlanCall
{
    DeclarationFiles files;
    /// True removes the objects that the files do not hold.
    bool prune = false;
};

/// Makes the change of a plan.
struct ApplyCall
{
    /// Unique id; a call that is sent again with the same id takes effect once.
    std::string changeId;
    std::string reason;
    std::map<ObjectName, std::optional<ObjectValues>> edits;
    /// Versions that the plan was made from; a changed one is a conflict.
    std::map<ObjectName, Revision> expected;
};

/// Asks how far a revision has spread.
struct StatusCall
{
    /// Revision in question; 0 means the one in force here.
    Revision revision;
};

/// Asks for past changes, or for the audit trail, newest first.
struct HistoryCall
{
    std::size_t limit = 20;
    bool audit = false;
};

/// Asks for the objects at a revision.
struct ShowCall
{
    /// 0 means the one in force here.
    Revision revision;
    /// Only objects whose name starts with this text.
    std::string prefix;
};

/// Makes the objects as they were at a revision, as a new revision.
struct RollbackCall
{
    std::string changeId;
    std::string reason;
    Revision revision;
};

/// Declares that an instance is draining, or ends that.
struct DrainCall
{
    std::string changeId;
    std::string reason;
    InstanceId instance;
    bool undo = false;
};

using OperatorRequest =
    std::variant<ValidateCall, PlanCall, ApplyCall, StatusCall, HistoryCall, ShowCall, RollbackCall, DrainCall>;

struct ValidateReply
{
    ConfigIssues issues;
};

struct PlanReply
{
    /// Revision that the plan was made from.
    Revision revision;
    std::vector<ConfigEdit> edits;
    std::map<ObjectName, Revision> expected;
    /// Faults of the resulting configuration; the plan cannot be applied if there are any.
    ConfigIssues issues;
};

/// Reply to `ApplyCall`, `RollbackCall` and `DrainCall`.
struct ChangeReply
{
    ResultCode code = ResultCode::Ok;
    /// Revision of the change if it was accepted, else the one that it was checked against.
    Revision revision;
    std::vector<ConfigEdit> edits;
    /// Accepted changes that came between, if the code is `ConfigConflict`.
    std::vector<ConfigRecord> between;
    ConfigIssues issues;
    std::string message;
};

struct StatusReply
{
    Revision revision;
    /// Revision in force in the process that answers.
    Revision inForceHere;
    bool ready = false;
    bool relay = false;
    bool storeAvailable = true;
    std::size_t peers = 0;
    std::size_t peersInForce = 0;
    /// Some of the connected peers that have not shown the revision yet, with the one that they showed last.
    std::map<InstanceId, Revision> lagging;
};

struct HistoryReply
{
    std::vector<ConfigRecord> changes;
    std::vector<AuditRecord> audit;
};

struct ShowReply
{
    Revision revision;
    std::map<ObjectName, ConfigObject> objects;
};

using OperatorReply = std::variant<ValidateReply, PlanReply, ChangeReply, StatusReply, HistoryReply, ShowReply, Error>;

/// Answer to an operator's call.
struct OperatorAnswer
{
    OperatorCallId id;
    OperatorReply reply;
};

} // namespace ibismast
