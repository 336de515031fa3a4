#pragma once

#include "ibismast/core/ids.h"

#include <map>
#include <string>

namespace ibismast
{

/// Rejects orders from processes whose lease has passed to another process.
///
/// Stores the highest fencing token seen for each placement shard. An equal token is accepted because it belongs to the
/// same lease holder.
class FencingGuard
{
public:
    /// Returns false if a higher token than @p token was seen for @p shard. Otherwise stores @p token and returns true.
    [[nodiscard]] bool accept(const std::string &shard, FencingToken token);
    /// Returns the highest token seen for @p shard, or zero if there is none.
    [[nodiscard]] FencingToken highest(const std::string &shard) const;

private:
    std::map<std::string, FencingToken> m_highest;
};

} // namespace ibismast
