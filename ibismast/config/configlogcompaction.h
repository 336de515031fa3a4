#pragma once

#include "ibismast/config/configlog.h"

namespace ibismast
{

/// Snapshot that a writer is storing: first its parts, then the head that names them.
struct ConfigLog::Compaction
{
    Revision revision;
    std::vector<std::string> parts;
    /// Part that is written next.
    std::size_t next = 0;
    StoreCallId pending;
    int failures = 0;
};

} // namespace ibismast
