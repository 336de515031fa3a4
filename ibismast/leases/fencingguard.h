#pragma once

#include "ibismast/core/ids.h"

#include <map>
#include <string>

namespace ibismast
{

/// Refuses orders of actors whose lease has passed to another one.
///
/// Remembers the highest fencing token of each placement shard. An equal token passes: it belongs to the same holder.
class FencingGuard
{
public:
    /// Returns false if a newer token than @p token was seen for @p shard; otherwise remembers it.
    [[nodiscard]] bool accept(const std::string &shard, FencingToken token);
    /// Returns the highest token seen for @p shard, zero if there is none.
    [[nodiscard]] FencingToken highest(const std::string &shard) const;

private:
    std::map<std::string, FencingToken> m_highest;
};

} // namespace ibismast
