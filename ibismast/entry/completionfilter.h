#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Route filter for the next attempt of a completion: rejects upstreams that were tried already, that are likely to
/// fail or refuse, or whose KV memory is too small.
class CompletionFilter : public RouteFilter
{
public:
    CompletionFilter(const Completion &completion, const EntryContext &context, TimePoint now);

    [[nodiscard]] bool accepts(const Upstream &upstream) const override;
    /// Returns the cached refusal because of which an upstream was rejected last, or null if there was none.
    [[nodiscard]] const Error *expectedRefusal() const;

private:
    const Completion &m_completion;
    const EntryContext &m_context;
    TimePoint m_now;
    RefusalCache::Demand m_demand;
    mutable const Error *m_expectedRefusal = nullptr;
};

} // namespace ibismast
