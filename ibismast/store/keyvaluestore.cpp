#include "ibismast/store/keyvaluestore.h"

#include <cassert>

namespace ibismast
{

void appendCall(StoreCalls &calls, StoreCallId id, StoreOperation operation)
{
    StoreCall &call = calls.emplace_back();
    call.id = id;
    call.operation = std::move(operation);
}

std::string prefixEnd(std::string prefix)
{
    assert(!prefix.empty());
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1U);
    return prefix;
}

} // namespace ibismast
