#pragma once

#include "ibismast/core/resultcode.h"
#include "ibismast/core/units.h"

#include <optional>
#include <string>
#include <variant>

namespace ibismast
{

/// Failure of a call: numbered code, message for the caller and, where it is known, when to try again.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string message;
    std::optional<Duration> retryAfter;

    bool operator==(const Error &) const = default;
};

/// Value of a call that returns nothing but may fail.
using Success = std::monostate;

/// Value of type @p T or the error that prevented it.
template<typename T> using Result = std::variant<T, Error>;

/// Returns the error of @p result, or null if the call succeeded.
template<typename T> [[nodiscard]] const Error *errorOf(const Result<T> &result)
{
    return std::get_if<Error>(&result);
}

/// Builds one visitor from several lambdas.
template<typename... Visitors> struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace ibismast
