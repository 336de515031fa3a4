#include "ibismast/core/priorityclass.h"

namespace ibismast
{

PriorityClass classifyPrompt(Tokens promptTokens)
{
    if (promptTokens <= ShortPromptLimit) {
        return PriorityClass::Short;
    }
    if (promptTokens <= MediumPromptLimit) {
        return PriorityClass::Medium;
    }
    if (promptTokens <= LongPromptLimit) {
        return PriorityClass::Long;
    }
    return PriorityClass::Huge;
}

std::string_view toString(PriorityClass priorityClass)
{
    switch (priorityClass) {
    case PriorityClass::Short:
        return "short";
    case PriorityClass::Medium:
        return "medium";
    case PriorityClass::Long:
        return "long";
    case PriorityClass::Huge:
        return "huge";
    }
    return "unknown";
}

} // namespace ibismast
