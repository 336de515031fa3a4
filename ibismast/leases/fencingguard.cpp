#include "ibismast/leases/fencingguard.h"

namespace ibismast
{

bool FencingGuard::accept(const std::string &shard, FencingToken token)
{
    FencingToken &seen = m_highest[shard];
    if (token < seen) {
        return false;
    }
    seen = token;
    return true;
}

FencingToken FencingGuard::highest(const std::string &shard) const
{
    const auto found = m_highest.find(shard);
    return found == m_highest.end() ? FencingToken() : found->second;
}

} // namespace ibismast
