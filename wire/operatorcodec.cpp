#include "wire/operatorcodec.h"

#include <Operator.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace ibismast
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
namespace wo = wire::operators;

// Declarations of the design scale take about 2 MB.
constexpr int LargestMessage = 16 * 1024 * 1024;

using Protocol = TCompactProtocolT<TMemoryBuffer>;

wo::Issue toWire(const ConfigIssue &issue)
{
    wo::Issue result;
    result.file = issue.file;
    result.line = issue.line;
    result.section = issue.section;
    result.key = issue.key;
    result.value = issue.value;
    result.problem = issue.problem;
    result.allowed = issue.allowed;
    return result;
}

wo::Edit toWire(const ConfigEdit &edit)
{
    wo::Edit result;
    result.object = edit.object;
    if (edit.before) {
        result.__set_before(*edit.before);
    }
    if (edit.after) {
        result.__set_after(*edit.after);
    }
    return result;
}

wo::Change toWire(const ConfigRecord &record);
wo::AuditEntry toWire(const AuditRecord &record);

template<typename Wire, typename Value> std::vector<Wire> toWireList(const std::vector<Value> &values)
{
    std::vector<Wire> result;
    result.reserve(values.size());
    for (const Value &value : values) {
        result.push_back(toWire(value));
    }
    return result;
}

wo::Change toWire(const ConfigRecord &record)
{
    wo::Change result;
    result.revision = record.revision.value();
    result.changeId = record.changeId;
    result.author = record.author;
    result.reason = record.reason;
    result.time = record.time.value();
    result.edits = toWireList<wo::Edit>(record.edits);
    return result;
}

wo::AuditEntry toWire(const AuditRecord &record)
{
    wo::AuditEntry result;
    result.time = record.time.value();
    result.who = record.who;
    result.role = record.role;
    result.action = record.action;
    result.changeId = record.changeId;
    result.fromRevision = record.from.value();
    result.toRevision = record.to.value();
    result.code = static_cast<std::int32_t>(record.code);
    result.message = record.message;
    result.diff = record.diff;
    return result;
}

wo::PlanReply toWire(const PlanReply &reply)
{
    wo::PlanReply result;
    result.revision = reply.revision.value();
    result.edits = toWireList<wo::Edit>(reply.edits);
    for (const auto &[name, version] : reply.expected) {
        result.expected[name] = version.value();
    }
    result.issues = toWireList<wo::Issue>(reply.issues);
    return result;
}

wo::ChangeReply toWire(const ChangeReply &reply)
{
    wo::ChangeReply result;
    result.code = static_cast<std::int32_t>(reply.code);
    result.revision = reply.revision.value();
    result.edits = toWireList<wo::Edit>(reply.edits);
    result.between = toWireList<wo::Change>(reply.between);
    result.issues = toWireList<wo::Issue>(reply.issues);
    result.message = reply.message;
    return result;
}

wo::StatusReply toWire(const StatusReply &reply)
{
    wo::StatusReply result;
    result.revision = reply.revision.value();
    result.inForceHere = reply.inForceHere.value();
    result.ready = reply.ready;
    result.relay = reply.relay;
    result.storeAvailable = reply.storeAvailable;
    result.peers = static_cast<std::int64_t>(reply.peers);
    result.peersInForce = static_cast<std::int64_t>(reply.peersInForce);
    for (const auto &[peer, revision] : reply.lagging) {
        result.lagging[peer.value()] = revision.value();
    }
    return result;
}

wo::HistoryReply toWire(const HistoryReply &reply)
{
    wo::HistoryReply result;
    result.changes = toWireList<wo::Change>(reply.changes);
    result.audit = toWireList<wo::AuditEntry>(reply.audit);
    return result;
}

wo::ShowReply toWire(const ShowReply &reply)
{
    wo::ShowReply result;
    result.revision = reply.revision.value();
    for (const auto &[name, object] : reply.objects) {
        result.objects[name].values = object.values;
        result.objects[name].version = object.version.value();
    }
    return result;
}

std::vector<wo::Issue> toWire(const ValidateReply &reply)
{
    return toWireList<wo::Issue>(reply.issues);
}

wo::OperatorError toWire(const Error &error)
{
    wo::OperatorError result;
    result.code = static_cast<std::int32_t>(error.code);
    result.name = resultCodeInfo(error.code).name;
    result.message = error.message;
    if (error.retryAfter) {
        result.__set_retryAfter(error.retryAfter->count());
    }
    return result;
}

template<typename Arguments> Arguments readArguments(Protocol &protocol)
{
    Arguments arguments;
    arguments.read(&protocol);
    protocol.readMessageEnd();
    return arguments;
}

ApplyCall fromWire(wo::Operator_apply_args arguments)
{
    ApplyCall call {std::move(arguments.changeId), std::move(arguments.reason), {}, {}};
    for (auto &[name, edit] : arguments.edits) {
        call.edits[name] = edit.__isset.values ? std::optional(std::move(edit.values)) : std::nullopt;
    }
    for (const auto &[name, version] : arguments.expected) {
        call.expected[name] = Revision(version);
    }
    return call;
}

std::optional<OperatorRequest> readRequest(const std::string &method, Protocol &protocol)
{
    if (method == "validate") {
        return ValidateCall {readArguments<wo::Operator_validate_args>(protocol).files};
    }
    if (method == "plan") {
        auto arguments = readArguments<wo::Operator_plan_args>(protocol);
        return PlanCall {std::move(arguments.files), arguments.prune};
    }
    if (method == "apply") {
        return fromWire(readArguments<wo::Operator_apply_args>(protocol));
    }
    if (method == "status") {
        return StatusCall {Revision(readArguments<wo::Operator_status_args>(protocol).revision)};
    }
    if (method == "history") {
        const auto arguments = readArguments<wo::Operator_history_args>(protocol);
        return HistoryCall {static_cast<std::size_t>(std::max(0, arguments.limit)), arguments.audit};
    }
    if (method == "show") {
        auto arguments = readArguments<wo::Operator_show_args>(protocol);
        return ShowCall {Revision(arguments.revision), std::move(arguments.prefix)};
    }
    if (method == "rollback") {
        auto arguments = readArguments<wo::Operator_rollback_args>(protocol);
        return RollbackCall {std::move(arguments.changeId), std::move(arguments.reason), Revision(arguments.revision)};
    }
    if (method == "drain") {
        auto arguments = readArguments<wo::Operator_drain_args>(protocol);
        return DrainCall {std::move(arguments.changeId),
                          std::move(arguments.reason),
                          InstanceId(std::move(arguments.instance)),
                          arguments.undo};
    }
    return std::nullopt;
}

// Writes a result that holds either the reply of the expected type or an error.
template<typename WireResult, typename Reply> void writeResult(Protocol &protocol, const OperatorReply &reply)
{
    WireResult result;
    if (const auto *value = std::get_if<Reply>(&reply)) {
        result.success = toWire(*value);
        result.__isset.success = true;
    } else {
        const auto *error = std::get_if<Error>(&reply);
        result.error = toWire(error ? *error : Error {ResultCode::InternalError, "reply of another call", {}});
        result.__isset.error = true;
    }
    result.write(&protocol);
}

void writeReply(const std::string &method, Protocol &protocol, const OperatorReply &reply)
{
    if (method == "validate") {
        writeResult<wo::Operator_validate_result, ValidateReply>(protocol, reply);
    } else if (method == "plan") {
        writeResult<wo::Operator_plan_result, PlanReply>(protocol, reply);
    } else if (method == "apply") {
        writeResult<wo::Operator_apply_result, ChangeReply>(protocol, reply);
    } else if (method == "status") {
        writeResult<wo::Operator_status_result, StatusReply>(protocol, reply);
    } else if (method == "history") {
        writeResult<wo::Operator_history_result, HistoryReply>(protocol, reply);
    } else if (method == "show") {
        writeResult<wo::Operator_show_result, ShowReply>(protocol, reply);
    } else if (method == "rollback") {
        writeResult<wo::Operator_rollback_result, ChangeReply>(protocol, reply);
    } else {
        writeResult<wo::Operator_drain_result, ChangeReply>(protocol, reply);
    }
}

} // namespace

Result<DecodedOperatorCall> decodeOperatorCall(std::string_view payload)
{
    try {
        const auto memory = std::make_shared<TMemoryBuffer>(std::make_shared<TConfiguration>(LargestMessage));
        memory->write(reinterpret_cast<const std::uint8_t *>(payload.data()),
                      static_cast<std::uint32_t>(payload.size()));
        Protocol protocol(memory);
        DecodedOperatorCall call;
        auto type = apache::thrift::protocol::T_CALL;
        protocol.readMessageBegin(call.method, type, call.sequence);
        auto request = readRequest(call.method, protocol);
        if (!request || type != apache::thrift::protocol::T_CALL) {
            return Error {ResultCode::ProtocolError, "unknown operator call", std::nullopt};
        }
        call.request = std::move(*request);
        return call;
    } catch (const std::exception &exception) {
        return Error {
            ResultCode::ProtocolError, std::string("malformed operator call: ") + exception.what(), std::nullopt};
    }
}

std::string encodeOperatorAnswer(const std::string &method, std::int32_t sequence, const OperatorReply &reply)
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    Protocol protocol(memory);
    protocol.writeMessageBegin(method, apache::thrift::protocol::T_REPLY, sequence);
    writeReply(method, protocol, reply);
    protocol.writeMessageEnd();
    const std::string payload = memory->getBufferAsString();
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame.push_back(static_cast<char>(payload.size() >> static_cast<unsigned>(shift)));
    }
    return frame + payload;
}

} // namespace ibismast
