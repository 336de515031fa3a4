#pragma once

#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Decides whether an entry takes a completion request at all.
class CompletionAdmission
{
public:
    explicit CompletionAdmission(EntryContext &context);

    /// Returns the reason why @p request is refused, or nothing; its work then counts as open until `release`.
    [[nodiscard]] std::optional<Error> admit(const CompletionRequest &request, TimePoint now);
    /// An admitted request has ended.
    void release(const CompletionRequest &request);

private:
    EntryContext &m_context;
};

} // namespace ibismast
