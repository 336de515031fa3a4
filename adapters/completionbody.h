#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/result.h"

#include <string_view>
#include <vector>

namespace ibismast
{

/// What the entry needs to know of the JSON body of a completion request.
struct CompletionBody
{
    ModelName model;
    Tokens promptTokens;
    /// Value of `max_tokens`, if it was sent.
    std::optional<std::int64_t> maxTokens;
    bool stream = false;
    /// Hashes of the leading blocks as in `DispatchRequest::prefixHashes`.
    std::vector<std::uint64_t> prefixHashes;
};

/// Validates @p json and extracts the fields without building a tree, so that a prompt of a million tokens takes no
/// further memory than its text.
///
/// @p chat selects `messages` instead of `prompt`. Fails with `MalformedRequest` if the text is not valid JSON and
/// with `InvalidArgument` if a field has the wrong type or is missing.
[[nodiscard]] Result<CompletionBody> parseCompletionBody(std::string_view json, bool chat);

} // namespace ibismast
