#pragma once

#include "ibismast/core/ids.h"

#include <functional>
#include <vector>

namespace ibismast
{

/// Prompts whose attempts broke off with one crash of an upstream: the parts of each that may be the cause.
using CrashedPrompts = std::vector<std::vector<PromptPartId>>;

/// Extends @p parts by further parts while each of @p crashes has a prompt that holds all of them, and returns the
/// result in ascending order: the narrowest set of parts that explains all the crashes that @p parts explain.
///
/// Prompts break off with each crash that another prompt causes, so parts that many prompts share are present at the
/// crashes of a part that few prompts hold. Of several parts, one for which @p wasAnswered is false is added first, and
/// of these the one that the fewest prompts hold.
[[nodiscard]] std::vector<PromptPartId> mostSpecificCause(std::vector<PromptPartId> parts,
                                                          std::vector<CrashedPrompts> crashes,
                                                          const std::function<bool(PromptPartId)> &wasAnswered);

} // namespace ibismast
