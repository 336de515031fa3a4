#include "ibismast/store/keyvaluestore.h"

#include <cassert>

namespace ibismast
{

std::string prefixEnd(std::string prefix)
{
    assert(!prefix.empty());
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1U);
    return prefix;
}

} // namespace ibismast
