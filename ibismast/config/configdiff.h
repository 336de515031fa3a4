#pragma once

#include "ibismast/config/configstate.h"

namespace ibismast
{

/// Returns the edits that lead from @p before to @p after, ordered by object.
[[nodiscard]] std::vector<ConfigEdit> diffObjects(const std::map<ObjectName, ConfigObject> &before,
                                                  const std::map<ObjectName, ObjectValues> &after);

/// Returns @p edits as text: a line `+ [object]`, `- [object]` or `~ [object]` each, followed by the changed keys.
/// Hashes of API keys are shortened to 8 digits.
[[nodiscard]] std::string toString(const std::vector<ConfigEdit> &edits);

} // namespace ibismast
