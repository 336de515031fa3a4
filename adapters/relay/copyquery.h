#pragma once

#include "ibismast/relay/platformrecords.h"

#include <string>
#include <string_view>

namespace ibismast
{

/// Returns the query of a request for another entry's copy.
[[nodiscard]] std::string encodeCopyQuery(const CopyContents &contents);
/// Returns what the query of a request asks for. A query that does not say, as that of an older build, asks for
/// everything.
[[nodiscard]] CopyContents decodeCopyQuery(std::string_view query);

} // namespace ibismast
