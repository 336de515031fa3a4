#pragma once

#include "ibismast/entry/completionfilter.h"

namespace ibismast
{

/// Chooses the upstream of the next attempt of a completion and sends the attempt.
class AttemptDispatcher
{
public:
    explicit AttemptDispatcher(EntryContext &context);

    /// Sends the next attempt and returns nothing, or returns the reason why no upstream can take it now.
    [[nodiscard]] std::optional<Error> dispatch(Completion &completion, TimePoint now, EntryActions &out);

private:
    /// Returns the first acceptable agent that the last refusal named, or null.
    Upstream *betterPlace(Completion &completion, const CompletionFilter &filter);
    void send(Completion &completion, Upstream &upstream, TimePoint now, EntryActions &out);

    EntryContext &m_context;
};

} // namespace ibismast
