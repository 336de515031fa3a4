#pragma once

#include <cstdint>
#include <string_view>

namespace ibismast
{

/// Returns a hash of @p text that is the same in every process and on every platform (FNV-1a, bits mixed at the end).
/// Not collision-resistant against chosen input.
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

/// Returns a hash that depends on both values and their order.
[[nodiscard]] std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

} // namespace ibismast
