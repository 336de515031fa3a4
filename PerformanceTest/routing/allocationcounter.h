#pragma once

#include <cstdint>

namespace ibismast
{

/// Returns the number of bytes requested from the heap since the start of the process.
[[nodiscard]] std::uint64_t allocatedBytes();

} // namespace ibismast
