#include "daemons/ctl/ctlcommands.h"

#include "ibismast/core/resultcode.h"

#include <thrift/transport/TTransportException.h>

namespace ibismast::ctl
{

namespace
{

namespace wo = wire::operators;

// Time between two status calls while a change spreads.
constexpr int PollMilliseconds = 200;

} // namespace

ExitCode exitCodeOf(std::int32_t resultCode)
{
    switch (static_cast<ResultCode>(resultCode)) {
    case ResultCode::Ok:
        return ExitCode::Done;
    case ResultCode::ConfigInvalid:
        return ExitCode::InvalidDeclarations;
    case ResultCode::ConfigConflict:
    case ResultCode::ConfigStale:
        return ExitCode::Conflict;
    case ResultCode::PermissionDenied:
        return ExitCode::PermissionDenied;
    case ResultCode::ConfigOutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ResultCode::ConfigNotInForce:
        return ExitCode::NotInForce;
    case ResultCode::StoreUnavailable:
    case ResultCode::NotReady:
    case ResultCode::QueueFull:
        return ExitCode::Unavailable;
    case ResultCode::RevisionNotFound:
        return ExitCode::RevisionNotFound;
    default:
        return ExitCode::Failed;
    }
}

Commands::Commands(wo::OperatorIf &service, OutputForm form, std::ostream &out, std::function<void(int)> sleep)
    : m_service(&service), m_form(form), m_out(&out), m_sleep(std::move(sleep))
{
}

ExitCode Commands::validate(const std::map<std::string, std::string> &files)
{
    std::vector<wo::Issue> issues;
    m_service->validate(issues, files);
    *m_out << ctl::show(issues, m_form);
    return issues.empty() ? ExitCode::Done : ExitCode::InvalidDeclarations;
}

ExitCode Commands::plan(const std::map<std::string, std::string> &files, bool prune)
{
    wo::PlanReply reply;
    m_service->plan(reply, files, prune);
    *m_out << ctl::show(reply, m_form);
    return reply.issues.empty() ? ExitCode::Done : ExitCode::InvalidDeclarations;
}

ExitCode Commands::apply(const std::map<std::string, std::string> &files, bool prune, const ChangeOptions &options)
{
    wo::PlanReply reply;
    m_service->plan(reply, files, prune);
    if (m_form == OutputForm::Table || !reply.issues.empty()) {
        *m_out << ctl::show(reply, m_form);
    }
    if (!reply.issues.empty()) {
        return ExitCode::InvalidDeclarations;
    }
    std::map<std::string, wo::ObjectEdit> edits;
    for (const wo::Edit &edit : reply.edits) {
        if (edit.__isset.after) {
            edits[edit.object].__set_values(edit.after);
        } else {
            edits[edit.object] = wo::ObjectEdit();
        }
    }
    return change(options, [&](wo::ChangeReply &result) {
        m_service->apply(result, options.changeId, options.reason, edits, reply.expected);
    });
}

ExitCode Commands::status(std::int64_t revision)
{
    wo::StatusReply reply;
    m_service->status(reply, revision);
    *m_out << ctl::show(reply, m_form);
    return ExitCode::Done;
}

ExitCode Commands::history(std::int32_t limit, bool audit)
{
    wo::HistoryReply reply;
    m_service->history(reply, limit, audit);
    *m_out << ctl::show(reply, m_form);
    return ExitCode::Done;
}

ExitCode Commands::show(std::int64_t revision, const std::string &prefix)
{
    wo::ShowReply reply;
    m_service->show(reply, revision, prefix);
    *m_out << ctl::show(reply, m_form);
    return ExitCode::Done;
}

ExitCode Commands::rollback(std::int64_t revision, const ChangeOptions &options)
{
    return change(options, [&](wo::ChangeReply &result) {
        m_service->rollback(result, options.changeId, options.reason, revision);
    });
}

ExitCode Commands::drain(const std::string &instance, bool undo, const ChangeOptions &options)
{
    return change(options, [&](wo::ChangeReply &result) {
        m_service->drain(result, options.changeId, options.reason, instance, undo);
    });
}

ExitCode Commands::change(const ChangeOptions &options, const ChangeCall &call)
{
    wo::ChangeReply reply;
    try {
        call(reply);
    } catch (const apache::thrift::transport::TTransportException &exception) {
        // The call may have reached the server before the connection ended.
        reply.code = static_cast<std::int32_t>(ResultCode::ConfigOutcomeUnknown);
        reply.message = std::string("the connection ended: ") + exception.what()
            + "; send the change again with --change-id " + options.changeId;
    }
    *m_out << ctl::show(reply, m_form, options.changeId);
    const ExitCode exitCode = exitCodeOf(reply.code);
    if (exitCode != ExitCode::Done || !options.wait) {
        return exitCode;
    }
    return waitUntilInForce(reply.revision, options.waitSeconds);
}

ExitCode Commands::waitUntilInForce(std::int64_t revision, int seconds)
{
    wo::StatusReply reply;
    for (int left = seconds * 1'000; left >= 0; left -= PollMilliseconds) {
        m_service->status(reply, revision);
        if (reply.inForceHere >= revision && reply.peersInForce == reply.peers) {
            *m_out << ctl::show(reply, m_form);
            return ExitCode::Done;
        }
        m_sleep(PollMilliseconds);
    }
    *m_out << ctl::show(reply, m_form);
    return ExitCode::NotInForce;
}

} // namespace ibismast::ctl
