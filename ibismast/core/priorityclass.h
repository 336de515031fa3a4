#pragma once

#include "ibismast/core/units.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace ibismast
{

/// Class of a request by the length of its prompt.
enum class PriorityClass : std::uint8_t {
    Short,
    Medium,
    Long,
    Huge,
};

/// All classes, shortest prompts first.
inline constexpr std::array AllPriorityClasses {
    PriorityClass::Short, PriorityClass::Medium, PriorityClass::Long, PriorityClass::Huge};

/// Longest prompt of each class but the last.
inline constexpr Tokens ShortPromptLimit {4'000};
inline constexpr Tokens MediumPromptLimit {32'000};
inline constexpr Tokens LongPromptLimit {100'000};

/// Returns the class of a prompt of @p promptTokens tokens.
[[nodiscard]] PriorityClass classifyPrompt(Tokens promptTokens);

/// Returns the name of @p priorityClass as used in logs and metrics: `short`, `medium`, `long` or `huge`.
[[nodiscard]] std::string_view toString(PriorityClass priorityClass);

/// One value for each priority class.
template<typename T> using PerClass = std::array<T, AllPriorityClasses.size()>;

/// Returns the index of @p priorityClass in a `PerClass`.
[[nodiscard]] constexpr std::size_t classIndex(PriorityClass priorityClass)
{
    return static_cast<std::size_t>(priorityClass);
}

} // namespace ibismast
