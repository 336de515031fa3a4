#pragma once

#include "adapters/gracefulstop.h"
#include "adapters/supervisor.h"

#include "ibismast/core/ids.h"

#include <functional>
#include <string>

namespace ibismast
{

/// Command line of a daemon.
struct DaemonOptions
{
    std::string settingsPath;
    /// Only check the settings.
    bool check = false;
    /// Set if the process must end before it starts; the value is its exit status.
    std::optional<int> exitStatus;
};

/// Texts of a daemon's help.
struct DaemonHelp
{
    std::string description;
    std::string examples;
};

/// Parses the command line and prepares the log.
[[nodiscard]] DaemonOptions parseDaemonOptions(int argc, char **argv, const DaemonHelp &help);

/// Returns a number that is larger than that of earlier runs of the same instance.
[[nodiscard]] Incarnation newIncarnation();

/// Prints the settings' violations and returns the exit status for them.
[[nodiscard]] int reportSettingsError(const Error &error);

/// Runs the event loop until a stop signal has been carried out, and returns the exit status.
[[nodiscard]] int runUntilStopped(const StopHooks &hooks, const StopTimes &stopTimes);

} // namespace ibismast
