#include "ibismast/relay/commoncause.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace ibismast
{

namespace
{

bool holds(const std::vector<PromptPartId> &prompt, PromptPartId part)
{
    return std::ranges::find(prompt, part) != prompt.end();
}

/// Removes the prompts without @p part. Returns false if a crash has no prompt left.
bool keepPromptsWith(PromptPartId part, std::vector<CrashedPrompts> &crashes)
{
    return std::ranges::all_of(crashes, [part](CrashedPrompts &crash) {
        std::erase_if(crash, [part](const std::vector<PromptPartId> &prompt) {
            return !holds(prompt, part);
        });
        return !crash.empty();
    });
}

/// How many crashes and prompts hold a part.
struct Presence
{
    std::size_t crashes = 0;
    std::size_t prompts = 0;
};

std::map<PromptPartId, Presence> presenceOfParts(const std::vector<CrashedPrompts> &crashes)
{
    std::map<PromptPartId, Presence> result;
    for (const CrashedPrompts &crash : crashes) {
        std::map<PromptPartId, std::size_t> prompts;
        for (const std::vector<PromptPartId> &prompt : crash) {
            for (const PromptPartId part : prompt) {
                ++prompts[part];
            }
        }
        for (const auto &[part, count] : prompts) {
            Presence &presence = result[part];
            ++presence.crashes;
            presence.prompts += count;
        }
    }
    return result;
}

} // namespace

std::vector<PromptPartId> mostSpecificCause(std::vector<PromptPartId> parts,
                                            std::vector<CrashedPrompts> crashes,
                                            const std::function<bool(PromptPartId)> &wasAnswered)
{
    for (const PromptPartId part : parts) {
        if (!keepPromptsWith(part, crashes)) {
            std::ranges::sort(parts);
            return parts;
        }
    }
    std::optional<PromptPartId> next;
    do {
        next.reset();
        std::tuple<bool, std::size_t> best;
        for (const auto &[part, presence] : presenceOfParts(crashes)) {
            if (presence.crashes < crashes.size() || holds(parts, part)) {
                continue;
            }
            const std::tuple rank(wasAnswered(part), presence.prompts);
            if (!next || rank < best) {
                next = part;
                best = rank;
            }
        }
        if (next) {
            (void)keepPromptsWith(*next, crashes);
            parts.push_back(*next);
        }
    } while (next);
    std::ranges::sort(parts);
    return parts;
}

} // namespace ibismast
