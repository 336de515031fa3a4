#include "ibismast/agent/orderrelay.h"

#include <algorithm>
#include <array>

namespace ibismast
{

OrderRelay::OrderRelay(const AgentContext &context) : m_context(context) { }

void OrderRelay::handle(const PeerFrame &frame, const UpstreamOrder &order, TimePoint now, AgentActions &out)
{
    if (auto error = rejectionReason(frame, order)) {
        m_context.log("order_refused", {{"issuer", frame.sender.value()}, {"reason", error->message}});
        sendTo(frame.sender, UpstreamOrderResult {order.call, std::move(error)}, out);
        return;
    }
    const std::uint64_t call = ++m_lastCall;
    m_pending.emplace(call, PendingOrder {frame.sender, order.call, now + m_context.settings.orderTimeout});
    UpstreamOrder relayed = order;
    relayed.call = call;
    m_context.log("order_relayed", {{"issuer", frame.sender.value()}, {"verb", order.verb}});
    sendToEngine(EngineOrder {std::move(relayed)}, out);
}

void OrderRelay::handleResult(const EngineOrderResult &result, AgentActions &out)
{
    const auto found = m_pending.find(result.call);
    if (found == m_pending.end()) {
        return;
    }
    sendTo(found->second.issuer, UpstreamOrderResult {found->second.call, result.error}, out);
    m_pending.erase(found);
}

void OrderRelay::handleEngineDown(AgentActions &out)
{
    for (const auto &entry : m_pending) {
        answerUnknown(entry.second, out);
    }
    m_pending.clear();
}

void OrderRelay::tick(TimePoint now, AgentActions &out)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        answerUnknown(entry.second, out);
        return true;
    });
}

std::optional<Error> OrderRelay::rejectionReason(const PeerFrame &frame, const UpstreamOrder &order)
{
    static constexpr std::array Verbs {"load", "unload", "role"};
    if (order.issuer != frame.sender) {
        return Error {ResultCode::Unauthorized, "The issuer of the order is not its sender.", std::nullopt};
    }
    if (std::ranges::find(Verbs, order.verb) == Verbs.end()) {
        return Error {ResultCode::InvalidArgument, "The verb of the order is not load, unload or role.", std::nullopt};
    }
    // Check the token last, because an accepted token makes older ones stale: an order that is refused for another
    // reason must not invalidate the tokens of valid orders.
    if (!m_guard.accept(order.shard, order.token)) {
        return Error {ResultCode::StaleFencingToken,
                      "The order's fencing token is older than " + std::to_string(m_guard.highest(order.shard).value())
                          + '.',
                      std::nullopt};
    }
    return std::nullopt;
}

void OrderRelay::answerUnknown(const PendingOrder &pending, AgentActions &out)
{
    const Error error {
        ResultCode::OutcomeUnknown, "The engine has not confirmed the order and may have executed it.", std::nullopt};
    sendTo(pending.issuer, UpstreamOrderResult {pending.call, error}, out);
}

} // namespace ibismast
