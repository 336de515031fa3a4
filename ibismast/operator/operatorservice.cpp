#include "ibismast/operator/operatorservice.h"

#include "ibismast/config/configdiff.h"
#include "ibismast/config/configrelay.h"
#include "ibismast/config/declarations.h"
#include "ibismast/core/eventlistener.h"
#include "ibismast/operator/operatorservicestate.h"

#include <algorithm>

namespace ibismast
{

namespace
{

DeclaredObjects declare(const DeclarationFiles &files)
{
    DeclaredObjects declared;
    for (const auto &[name, text] : files) {
        declared.add(parseIni(name, text));
    }
    return declared;
}

OperatorRole requiredRole(const OperatorRequest &request)
{
    if (std::holds_alternative<RollbackCall>(request)) {
        return OperatorRole::Admin;
    }
    const bool changes = std::holds_alternative<ApplyCall>(request) || std::holds_alternative<DrainCall>(request);
    return changes ? OperatorRole::Editor : OperatorRole::Viewer;
}

std::string actionOf(const OperatorRequest &request)
{
    return std::visit(Overloaded {[](const ValidateCall &) {
                                      return "validate";
                                  },
                                  [](const PlanCall &) {
                                      return "plan";
                                  },
                                  [](const ApplyCall &) {
                                      return "apply";
                                  },
                                  [](const StatusCall &) {
                                      return "status";
                                  },
                                  [](const HistoryCall &) {
                                      return "history";
                                  },
                                  [](const ShowCall &) {
                                      return "show";
                                  },
                                  [](const RollbackCall &) {
                                      return "rollback";
                                  },
                                  [](const DrainCall &) {
                                      return "drain";
                                  }},
                      request);
}

std::string changeIdOf(const OperatorRequest &request)
{
    if (const auto *apply = std::get_if<ApplyCall>(&request)) {
        return apply->changeId;
    }
    if (const auto *rollback = std::get_if<RollbackCall>(&request)) {
        return rollback->changeId;
    }
    const auto *drain = std::get_if<DrainCall>(&request);
    return drain ? drain->changeId : std::string();
}

} // namespace

std::string_view toString(OperatorRole role)
{
    switch (role) {
    case OperatorRole::Viewer:
        return "viewer";
    case OperatorRole::Editor:
        return "editor";
    case OperatorRole::Admin:
        return "admin";
    }
    return "unknown";
}

std::optional<OperatorRole> parseOperatorRole(std::string_view name)
{
    for (const auto role : {OperatorRole::Viewer, OperatorRole::Editor, OperatorRole::Admin}) {
        if (toString(role) == name) {
            return role;
        }
    }
    return std::nullopt;
}

OperatorService::OperatorService(const OperatorServiceSettings &settings,
                                 const std::string &writer,
                                 ConfigReplica &replica,
                                 const ConfigRelay &relay,
                                 StoreCallIds &ids)
    : m_settings(settings)
    , m_replica(&replica)
    , m_relay(&relay)
    , m_ids(&ids)
    , m_log(settings.log, replica, ids)
    , m_audit(settings.audit, writer, ids)
{
}

OperatorService::~OperatorService() = default;

std::vector<OperatorAnswer> OperatorService::takeAnswers()
{
    return std::exchange(m_answers, {});
}

bool OperatorService::busy() const
{
    return m_log.busy() || m_audit.queued() > 0 || !m_readings.empty();
}

void OperatorService::setStoreAvailable(bool available)
{
    m_storeAvailable = available;
}

void OperatorService::setListener(EventListener *listener)
{
    m_listener = listener;
}

void OperatorService::addAudit(AuditRecord record, TimePoint now, StoreCalls &out)
{
    if (m_listener != nullptr) {
        m_listener->onEvent("operator_call",
                            {{"who", record.who},
                             {"role", record.role},
                             {"action", record.action},
                             {"change_id", record.changeId},
                             {"from", std::to_string(record.from.value())},
                             {"to", std::to_string(record.to.value())},
                             {"code", std::string(resultCodeInfo(record.code).name)},
                             {"message", record.message},
                             {"diff", record.diff}});
    }
    m_audit.add(std::move(record), now, out);
}

void OperatorService::reply(OperatorCallId id, OperatorReply reply)
{
    m_answers.push_back({id, std::move(reply)});
}

void OperatorService::refuse(
    const PendingChange &change, ResultCode code, const std::string &message, TimePoint now, StoreCalls &out)
{
    reply(change.id, Error {code, message, std::nullopt});
    addAudit({change.time,
              change.who.name,
              std::string(toString(change.who.role)),
              change.action,
              change.changeId,
              change.from,
              change.from,
              code,
              message,
              {}},
             now,
             out);
}

OperatorCallId OperatorService::call(
    const OperatorIdentity &who, OperatorRequest request, WallTime wallTime, TimePoint now, StoreCalls &out)
{
    const OperatorCallId id(++m_lastCall);
    PendingChange change {id, who, wallTime, actionOf(request), changeIdOf(request), m_replica->revision()};
    const OperatorRole required = requiredRole(request);
    if (who.role < required) {
        refuse(change,
               ResultCode::PermissionDenied,
               change.action + " needs the role " + std::string(toString(required)),
               now,
               out);
        return id;
    }
    if (required != OperatorRole::Viewer && change.changeId.empty()) {
        refuse(change, ResultCode::InvalidArgument, "the change id is empty", now, out);
        return id;
    }
    if (!m_relay->ready() && !std::holds_alternative<ValidateCall>(request)
        && !std::holds_alternative<StatusCall>(request)) {
        reply(id, Error {ResultCode::NotReady, "this instance has no configuration yet", std::nullopt});
        return id;
    }
    std::visit(Overloaded {[&](const ValidateCall &validate) {
                               ValidateReply result;
                               static_cast<void>(parseDeclarations(declare(validate.files), result.issues));
                               reply(id, std::move(result));
                           },
                           [&](const PlanCall &planCall) {
                               reply(id, plan(planCall));
                           },
                           [&](ApplyCall &apply) {
                               submit(change,
                                      {apply.changeId,
                                       who.name,
                                       apply.reason,
                                       wallTime,
                                       std::move(apply.edits),
                                       std::move(apply.expected)},
                                      now,
                                      out);
                           },
                           [&](const StatusCall &statusCall) {
                               reply(id, status(statusCall));
                           },
                           [&](const DrainCall &drain) {
                               ConfigChange edits {drain.changeId, who.name, drain.reason, wallTime, {}, {}};
                               auto &target = edits.edits["drain " + drain.instance.value()];
                               if (!drain.undo) {
                                   target = ObjectValues {{"reason", drain.reason}};
                               }
                               submit(change, std::move(edits), now, out);
                           },
                           [&](HistoryCall &history) {
                               startReading(id, PendingReading(history, change, *m_ids), now, out);
                           },
                           [&](ShowCall &show) {
                               startReading(id, PendingReading(show, change, *m_ids), now, out);
                           },
                           [&](RollbackCall &rollback) {
                               startReading(id, PendingReading(rollback, change, *m_ids), now, out);
                           }},
               request);
    return id;
}

PlanReply OperatorService::plan(const PlanCall &call) const
{
    DeclaredObjects declared = declare(call.files);
    const ConfigState &state = m_replica->state();
    PlanReply result;
    result.revision = state.revision;
    std::map<ObjectName, ObjectValues> after = declared.objects;
    if (!call.prune) {
        for (const auto &[name, object] : state.objects) {
            after.emplace(name, object.values);
        }
    }
    result.edits = diffObjects(state.objects, after);
    for (const ConfigEdit &edit : result.edits) {
        const auto object = state.objects.find(edit.object);
        result.expected[edit.object] = object == state.objects.end() ? Revision() : object->second.version;
    }
    declared.objects = std::move(after);
    static_cast<void>(parseDeclarations(declared, result.issues));
    return result;
}

StatusReply OperatorService::status(const StatusCall &call) const
{
    StatusReply result;
    result.inForceHere = m_replica->revision();
    result.revision = call.revision == Revision() ? result.inForceHere : call.revision;
    result.ready = m_relay->ready();
    result.relay = m_relay->isRelay();
    result.storeAvailable = m_storeAvailable;
    for (const auto &[peer, revision] : m_relay->peerRevisions()) {
        result.peers += 1;
        if (revision >= result.revision) {
            result.peersInForce += 1;
        } else if (result.lagging.size() < m_settings.namedPeers) {
            result.lagging.emplace(peer, revision);
        }
    }
    return result;
}

void OperatorService::submit(PendingChange change, ConfigChange edits, TimePoint now, StoreCalls &out)
{
    const std::string id = change.changeId;
    m_changes.emplace(id, std::move(change));
    m_log.submit(std::move(edits), now, out);
    takeOutcomes(now, out);
}

void OperatorService::takeOutcomes(TimePoint now, StoreCalls &out)
{
    for (ChangeOutcome &outcome : m_log.takeOutcomes()) {
        const auto pending = m_changes.find(outcome.changeId);
        if (pending == m_changes.end()) {
            continue;
        }
        const PendingChange &change = pending->second;
        const bool accepted = outcome.code == ResultCode::Ok;
        addAudit({change.time,
                  change.who.name,
                  std::string(toString(change.who.role)),
                  change.action,
                  change.changeId,
                  change.from,
                  accepted ? outcome.revision : change.from,
                  outcome.code,
                  outcome.message,
                  toString(outcome.edits)},
                 now,
                 out);
        reply(change.id,
              ChangeReply {outcome.code,
                           outcome.revision,
                           std::move(outcome.edits),
                           std::move(outcome.between),
                           std::move(outcome.issues),
                           std::move(outcome.message)});
        m_changes.erase(pending);
    }
}

bool OperatorService::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (m_log.handle(answer, now, out)) {
        takeOutcomes(now, out);
        return true;
    }
    if (m_audit.handle(answer, now, out)) {
        return true;
    }
    for (auto entry = m_readings.begin(); entry != m_readings.end(); ++entry) {
        PendingReading &reading = entry->second;
        if (reading.history.handle(answer, out)) {
            if (!reading.history.busy()) {
                auto node = m_readings.extract(entry);
                finishReading(node.key(), node.mapped(), now, out);
            }
            return true;
        }
        if (reading.audit.handle(answer, out)) {
            if (!reading.audit.busy()) {
                const auto node = m_readings.extract(entry);
                finishAuditReading(node.key(), node.mapped());
            }
            return true;
        }
    }
    return false;
}

void OperatorService::tick(TimePoint now, StoreCalls &out)
{
    m_log.tick(now, out);
    m_audit.tick(now, out);
    takeOutcomes(now, out);
}

} // namespace ibismast
