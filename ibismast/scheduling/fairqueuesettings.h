#pragma once

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/result.h"

namespace ibismast
{

/// Shares and bounds of a `FairQueue`.
struct FairQueueSettings
{
    /// Reserved share of the engine's token rate for each class, in any unit; a class without work passes its share on.
    PerClass<double> classShares {0.4, 0.25, 0.2, 0.15};
    /// Work that a customer of weight 1 may take in one round of its class.
    Tokens quantum {2'000};
    /// Largest sum of the work of all queued attempts.
    Tokens maxTokens {40'000'000};
    /// Largest sum of the bodies of all queued attempts.
    Bytes maxBytes {100'000'000};
    /// False to serve all classes as one. Only measurements turn this off.
    bool separateClasses = true;
    /// False to serve the customers of a class in order of arrival. Only measurements turn this off.
    bool separateCustomers = true;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
