#pragma once

#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Admission control for completion requests, before an upstream is selected.
class CompletionAdmission
{
public:
    explicit CompletionAdmission(EntryContext &context);

    /// Returns an error if @p request is refused. Otherwise its work counts as open until `release`.
    [[nodiscard]] std::optional<Error> admit(const CompletionRequest &request, TimePoint now);
    /// Ends the accounting of an admitted request.
    void release(const CompletionRequest &request);

private:
    EntryContext &m_context;
};

} // namespace ibismast
