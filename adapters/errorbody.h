#pragma once

#include "ibismast/core/result.h"

namespace ibismast
{

/// Returns the JSON object that callers get for @p error: code, name, message and whether the request was not run.
[[nodiscard]] std::string errorBody(const Error &error);

/// Returns the value of the `Retry-After` header in whole seconds, rounded up; empty if @p error names no time.
[[nodiscard]] std::string retryAfterSeconds(const Error &error);

} // namespace ibismast
