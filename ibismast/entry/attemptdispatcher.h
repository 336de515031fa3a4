#pragma once

#include "ibismast/entry/completionfilter.h"

namespace ibismast
{

/// Selects an upstream for the next attempt of a completion and dispatches the attempt to it.
class AttemptDispatcher
{
public:
    explicit AttemptDispatcher(EntryContext &context);

    /// Dispatches the next attempt. Returns an error if no upstream can take it now.
    [[nodiscard]] std::optional<Error> dispatch(Completion &completion, TimePoint now, EntryActions &out);

private:
    /// Returns the first of the upstreams suggested by the last refusal that passes @p filter, or null. Clears the
    /// suggestions.
    Upstream *findSuggestedUpstream(Completion &completion, const CompletionFilter &filter);
    void send(Completion &completion, Upstream &upstream, TimePoint now, EntryActions &out);

    EntryContext &m_context;
};

} // namespace ibismast
