#include "ibismast/entry/groupflow.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

/// Upstream with the KV memory, in tokens, that a group may use there.
struct UpstreamSpace
{
    Upstream *upstream = nullptr;
    std::int64_t tokens = 0;
};

std::int64_t totalTokens(const std::vector<UpstreamSpace> &spaces)
{
    std::int64_t sum = 0;
    for (const UpstreamSpace &space : spaces) {
        sum += space.tokens;
    }
    return sum;
}

/// Splits @p prompt tokens into segments in proportion to the sizes of @p spaces. The last segment's member also needs
/// space for @p output tokens. Returns an empty vector if the tokens do not fit.
std::vector<GroupMember> splitPrompt(const std::vector<UpstreamSpace> &spaces, std::int64_t prompt, std::int64_t output)
{
    const std::int64_t sum = totalTokens(spaces);
    const std::int64_t others = sum - spaces.back().tokens;
    double fillRatio = static_cast<double>(prompt + output) / static_cast<double>(sum);
    if (fillRatio * static_cast<double>(spaces.back().tokens) < static_cast<double>(output + 1)) {
        // The last member's share is too small for the output and one prompt token. Give it just these, and split the
        // rest of the prompt among the others. Without other members the ratio has no effect.
        fillRatio = others > 0 ? static_cast<double>(prompt - 1) / static_cast<double>(others) : 2.0;
    }
    std::vector<GroupMember> members;
    std::int64_t offset = 0;
    for (std::size_t index = 0; index < spaces.size(); ++index) {
        const bool last = index + 1 == spaces.size();
        const std::int64_t remaining = prompt - offset;
        const auto share = static_cast<std::int64_t>(std::ceil(static_cast<double>(spaces[index].tokens) * fillRatio));
        const std::int64_t length = last ? remaining : std::min({share, spaces[index].tokens, remaining - 1});
        const std::int64_t amount = length + (last ? output : 0);
        if (length <= 0 || amount > spaces[index].tokens) {
            return {};
        }
        members.push_back(GroupMember {spaces[index].upstream->id,
                                       spaces[index].upstream->incarnation,
                                       Tokens(offset),
                                       Tokens(length),
                                       Tokens(amount)});
        offset += length;
    }
    return members;
}

} // namespace

GroupFlow::GroupFlow(EntryContext &context) : m_context(context) { }

bool GroupFlow::needsGroup(const Completion &completion) const
{
    const auto &subset = m_context.upstreams.modelSubset(completion.request.model);
    return !subset.empty() && std::ranges::all_of(subset, [&](const Upstream *upstream) {
        return upstream->load.memoryCapacity > Tokens()
            && m_context.usableMemory(*upstream, completion.priorityClass) < completion.work();
    });
}

std::optional<Error> GroupFlow::start(Completion &completion, TimePoint now, EntryActions &out)
{
    const std::vector<Upstream *> upstreams = candidates(completion, now);
    Tokens largest;
    for (const Upstream *upstream : upstreams) {
        largest = std::max(largest, m_context.usableMemory(*upstream, PriorityClass::Huge));
    }
    const auto maxMembers = static_cast<std::int64_t>(m_context.settings.maxGroupMembers);
    if (!upstreams.empty() && completion.work().value() > largest.value() * maxMembers) {
        return Error {ResultCode::PromptTooLong,
                      "the prompt and its output exceed the KV memory of the largest possible group",
                      {}};
    }
    std::vector<GroupMember> members = plan(completion, upstreams, true);
    if (members.empty()) {
        // The free memory does not suffice. Agents queue a reservation for a short time, so that running attempts may
        // end and free more.
        members = plan(completion, upstreams, false);
    }
    if (members.empty()) {
        return Error {ResultCode::GroupUnavailable,
                      "the usable upstreams of the model do not have enough KV memory for the request",
                      {}};
    }
    const AttemptId id {completion.id, static_cast<std::uint32_t>(completion.attempts.size() + 1)};
    completion.attempts.push_back(UpstreamAttempt {id, {}, Tokens()});
    completion.assembler.beginAttempt(id);
    completion.segment = 0;
    completion.group.emplace(id, completion.request.model, std::move(members), completion.deadline);
    completion.group->start(now, out);
    m_context.report("group_reserving",
                     {{"attempt", toString(id)}, {"members", std::to_string(completion.group->members().size())}});
    return std::nullopt;
}

void GroupFlow::dispatchSegment(
    Completion &completion, std::uint32_t index, std::string importHandle, TimePoint now, EntryActions &out)
{
    const std::vector<GroupMember> &members = completion.group->members();
    const GroupMember &member = members[index];
    UpstreamAttempt &attempt = completion.attempts.back();
    completion.segment = index;
    attempt.targets.push_back(AttemptTarget {member.upstream, member.incarnation, TargetState::Sent});
    DispatchRequest request = completion.dispatch(attempt.id, now);
    GroupSegment segment;
    for (const GroupMember &each : members) {
        segment.members.push_back(each.upstream);
    }
    segment.index = index;
    segment.offset = member.offset;
    segment.length = member.length;
    segment.importHandle = std::move(importHandle);
    request.group = std::move(segment);
    m_context.health.noteDispatch(member.upstream, now);
    out.emplace_back(SendToPeer {member.upstream, std::move(request)});
}

void GroupFlow::close(Completion &completion, EntryActions &out)
{
    UpstreamAttempt &attempt = completion.attempts.back();
    std::vector<InstanceId> ended;
    for (AttemptTarget &target : attempt.targets) {
        ended.push_back(target.upstream);
        if (isOpen(target.state)) {
            target.state = TargetState::MayHaveRun;
            out.emplace_back(SendToPeer {target.upstream, CancelAttempt {attempt.id}});
        }
    }
    completion.group->release(ended, out);
    completion.group.reset();
}

std::vector<Upstream *> GroupFlow::candidates(const Completion &completion, TimePoint now) const
{
    std::vector<Upstream *> upstreams;
    for (Upstream *upstream : m_context.upstreams.modelSubset(completion.request.model)) {
        if (m_context.health.allows(upstream->id, now)) {
            upstreams.push_back(upstream);
        }
    }
    return upstreams;
}

std::vector<GroupMember>
GroupFlow::plan(const Completion &completion, const std::vector<Upstream *> &candidates, bool freeOnly) const
{
    std::vector<UpstreamSpace> spaces;
    for (Upstream *upstream : candidates) {
        const Tokens usable = m_context.usableMemory(*upstream, PriorityClass::Huge);
        const Tokens space = freeOnly ? std::min(usable, upstream->load.freeMemory) : usable;
        if (space > Tokens(1)) {
            spaces.push_back(UpstreamSpace {upstream, space.value()});
        }
    }
    std::ranges::stable_sort(spaces, std::greater(), &UpstreamSpace::tokens);
    const std::int64_t prompt = completion.request.promptTokens.value();
    const std::int64_t output = completion.request.maxOutputTokens.value();
    // Use as few members as possible: each additional one costs an export and an import of KV cache.
    for (std::size_t count = 1; count <= std::min(spaces.size(), m_context.settings.maxGroupMembers); ++count) {
        std::vector<UpstreamSpace> chosen(spaces.begin(), spaces.begin() + static_cast<std::ptrdiff_t>(count));
        if (totalTokens(chosen) < prompt + output) {
            continue;
        }
        std::ranges::sort(chosen, {}, [](const UpstreamSpace &space) {
            return space.upstream->id;
        });
        std::vector<GroupMember> members = splitPrompt(chosen, prompt, output);
        if (!members.empty()) {
            return members;
        }
    }
    return {};
}

} // namespace ibismast
