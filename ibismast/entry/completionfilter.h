#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Accepts the upstreams that may get the next attempt of a completion.
class CompletionFilter : public RouteFilter
{
public:
    CompletionFilter(const Completion &completion, const EntryContext &context, TimePoint now);

    [[nodiscard]] bool accepts(const Upstream &upstream) const override;
    /// Returns the refusal that the upstreams would repeat, or null if the filter refused for other reasons only.
    [[nodiscard]] const Error *expectedRefusal() const;

private:
    const Completion &m_completion;
    const EntryContext &m_context;
    TimePoint m_now;
    RefusalMemory::Demand m_demand;
    mutable const Error *m_expectedRefusal = nullptr;
};

} // namespace ibismast
