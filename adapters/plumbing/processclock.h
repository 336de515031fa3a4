#pragma once

#include "ibismast/core/units.h"

namespace ibismast
{

/// Returns the monotonic time of this process in the form that the state machines take.
[[nodiscard]] TimePoint processNow();

} // namespace ibismast
