#pragma once

#include "UnitTests/harness/runrecord.h"

namespace ibismast::harness
{

/// Property of section 1.1 of the design page that a run violated.
struct Violation
{
    std::string property;
    std::string text;
};

/// Returns the violations of P1 to P7 in @p run. P8 is checked by the configuration tests.
[[nodiscard]] std::vector<Violation> checkInvariants(const RunRecord &run);

} // namespace ibismast::harness
