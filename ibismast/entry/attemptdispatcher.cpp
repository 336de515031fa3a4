#include "ibismast/entry/attemptdispatcher.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

AttemptDispatcher::AttemptDispatcher(EntryContext &context) : m_context(context) { }

std::optional<Error> AttemptDispatcher::dispatch(Completion &completion, TimePoint now, EntryActions &out)
{
    const CompletionRequest &request = completion.request;
    const CompletionFilter filter(completion, m_context, now);
    Upstream *upstream = findSuggestedUpstream(completion, filter);
    if (upstream == nullptr) {
        const RouteQuery query {
            completion.priorityClass, request.promptTokens, m_context.prefixes.find(request.prefixHashes, now)};
        upstream =
            m_context.router.choose(m_context.upstreams.modelSubset(request.model), query, filter, m_context.random);
    }
    if (upstream != nullptr) {
        send(completion, *upstream, now, out);
        return std::nullopt;
    }
    if (const Error *refusal = filter.expectedRefusal()) {
        return *refusal;
    }
    return Error {ResultCode::NoUpstream, "no live upstream can take a request for " + request.model.value(), {}};
}

Upstream *AttemptDispatcher::findSuggestedUpstream(Completion &completion, const CompletionFilter &filter)
{
    for (const InstanceId &suggested : std::exchange(completion.suggestedUpstreams, {})) {
        Upstream *upstream = m_context.upstreams.find(suggested);
        const bool serves = upstream != nullptr && upstream->routable
            && std::ranges::find(upstream->load.models, completion.request.model) != upstream->load.models.end();
        if (serves && filter.accepts(*upstream)) {
            return upstream;
        }
    }
    return nullptr;
}

void AttemptDispatcher::send(Completion &completion, Upstream &upstream, TimePoint now, EntryActions &out)
{
    const AttemptId id {completion.id, static_cast<std::uint32_t>(completion.attempts.size() + 1)};
    const Tokens work = completion.work();
    completion.attempts.push_back(
        UpstreamAttempt {id, {AttemptTarget {upstream.id, upstream.incarnation, TargetState::Sent}}, work});
    completion.assembler.beginAttempt(id);
    m_context.upstreams.noteDispatched(upstream, completion.priorityClass, work);
    m_context.health.noteDispatch(upstream.id, now);
    out.emplace_back(SendToPeer {upstream.id, completion.dispatch(id, now)});
    m_context.report("attempt_dispatched", {{"attempt", toString(id)}, {"upstream", upstream.id.value()}});
}

} // namespace ibismast
