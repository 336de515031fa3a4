#pragma once

#include "daemons/ctl/ctloutput.h"

#include <functional>
#include <ostream>

namespace ibismast::ctl
{

/// Exit codes of ibismastctl; `ibismastctl --help` lists them.
enum class ExitCode : int {
    Done = 0,
    /// Any failure without a code of its own.
    Failed = 1,
    Usage = 2,
    InvalidDeclarations = 3,
    Conflict = 4,
    PermissionDenied = 5,
    /// The change may or may not have been accepted; send it again with the same change id.
    OutcomeUnknown = 6,
    /// Accepted, but not in force on all reached instances within the time limit.
    NotInForce = 7,
    Unavailable = 8,
    RevisionNotFound = 9,
};

/// Returns the exit code for a result code of the service.
[[nodiscard]] ExitCode exitCodeOf(std::int32_t resultCode);

/// Options of the commands that change something.
struct ChangeOptions
{
    std::string changeId;
    std::string reason;
    bool wait = false;
    int waitSeconds = 6;
};

/// The commands of ibismastctl over any implementation of the service.
class Commands
{
public:
    /// @p sleep pauses between two status calls for the given number of milliseconds.
    Commands(wire::operators::OperatorIf &service, OutputForm form, std::ostream &out, std::function<void(int)> sleep);

    ExitCode validate(const std::map<std::string, std::string> &files);
    ExitCode plan(const std::map<std::string, std::string> &files, bool prune);
    ExitCode apply(const std::map<std::string, std::string> &files, bool prune, const ChangeOptions &options);
    ExitCode status(std::int64_t revision);
    ExitCode history(std::int32_t limit, bool audit);
    ExitCode show(std::int64_t revision, const std::string &prefix);
    ExitCode rollback(std::int64_t revision, const ChangeOptions &options);
    ExitCode drain(const std::string &instance, bool undo, const ChangeOptions &options);

private:
    using ChangeCall = std::function<void(wire::operators::ChangeReply &)>;

    ExitCode change(const ChangeOptions &options, const ChangeCall &call);
    ExitCode waitUntilInForce(std::int64_t revision, int seconds);

    wire::operators::OperatorIf *m_service;
    OutputForm m_form;
    std::ostream *m_out;
    std::function<void(int)> m_sleep;
};

} // namespace ibismast::ctl
