#pragma once

#include "ibismast/core/strongtypes.h"

#include <cstdint>

namespace ibismast
{

/// Number of times that the store has been restored from an older copy of its data; 0 if the store does not say.
using StoreEra = StrongInteger<struct StoreEraTag>;

/// Position in the history of the store. A restored store loses its latest changes and gives their numbers out again,
/// so numbers are comparable only within one era.
struct RecordRevision
{
    std::int64_t number = 0;
    StoreEra era {};

    bool operator==(const RecordRevision &) const = default;
    friend constexpr std::strong_ordering operator<=>(const RecordRevision &left, const RecordRevision &right)
    {
        return left.era == right.era ? left.number <=> right.number : left.era <=> right.era;
    }
};

} // namespace ibismast
