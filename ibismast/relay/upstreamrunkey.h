#pragma once

#include "ibismast/core/strongtypes.h"

#include <cstdint>

namespace ibismast
{

/// Identifies one run of an upstream in reports between entries: a hash of its id and incarnation.
using UpstreamRunKey = StrongInteger<struct UpstreamRunKeyTag, std::uint64_t>;

} // namespace ibismast
