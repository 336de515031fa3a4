#pragma once

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/result.h"

namespace ibismast
{

/// Shares and bounds of a `FairQueue`.
struct FairQueueSettings
{
    /// Share of the engine's token rate that is reserved for each class. Only the ratios matter. The share of an idle
    /// class is divided among the others.
    PerClass<double> classShares {0.4, 0.25, 0.2, 0.15};
    /// Deficit that a customer of weight 1 gains in one round of its class.
    Tokens quantum {2'000};
    /// Largest sum of the work of all queued attempts.
    Tokens maxTokens {40'000'000};
    /// Largest sum of the request bodies of all queued attempts.
    Bytes maxBytes {100'000'000};
    /// False to serve all classes from one queue; disabled only in benchmarks.
    bool separateClasses = true;
    /// False to serve each class in order of arrival, whatever the customer; disabled only in benchmarks.
    bool separateCustomers = true;

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
