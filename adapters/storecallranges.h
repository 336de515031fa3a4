#pragma once

#include <cstdint>

namespace ibismast
{

/// Ranges of `StoreCallIds` in the daemons. They are disjoint, so that each answer finds its state machine.
namespace StoreCallRanges
{
constexpr std::uint16_t Config = 1;
constexpr std::uint16_t Operators = 2;
/// Claims of `EntryCore`.
constexpr std::uint16_t Claims = 16;
} // namespace StoreCallRanges

} // namespace ibismast
