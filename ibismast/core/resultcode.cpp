#include "ibismast/core/resultcode.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace ibismast
{

namespace
{

using enum ResultCode;

constexpr std::array ResultCodeTable {
    ResultCodeInfo {Ok, "Ok", 200, false, "The call succeeded."},
    ResultCodeInfo {MalformedRequest, "MalformedRequest", 400, true, "The request head or body could not be parsed."},
    ResultCodeInfo {BodyTooLarge, "BodyTooLarge", 413, true, "The body is larger than the configured limit."},
    ResultCodeInfo {RequestTimeout, "RequestTimeout", 408, true, "The request was sent too slowly."},
    ResultCodeInfo {UnknownModel, "UnknownModel", 404, true, "No deployment has this model name."},
    ResultCodeInfo {UnknownService, "UnknownService", 404, true, "No plain service has this name."},
    ResultCodeInfo {InvalidApiKey, "InvalidApiKey", 401, true, "The API key is missing or belongs to no customer."},
    ResultCodeInfo {InvalidArgument, "InvalidArgument", 400, true, "A field has a value outside its range."},
    ResultCodeInfo {PromptTooLong, "PromptTooLong", 413, true, "The prompt has more tokens than any group can hold."},
    ResultCodeInfo {UnsupportedPipelining,
                    "UnsupportedPipelining",
                    400,
                    true,
                    "A second request arrived on the connection before the first had ended."},
    ResultCodeInfo {UnknownOperation, "UnknownOperation", 404, true, "The operation id has an unknown form or agent."},
    ResultCodeInfo {CallerDisconnected, "CallerDisconnected", 499, false, "The caller left before the answer ended."},
    ResultCodeInfo {NotFound, "NotFound", 404, true, "The path does not exist."},
    ResultCodeInfo {MethodNotAllowed, "MethodNotAllowed", 405, true, "The path does not take this method."},
    ResultCodeInfo {DeadlineNotFeasible,
                    "DeadlineNotFeasible",
                    503,
                    true,
                    "The request could not end before its deadline at the current capacity."},
    ResultCodeInfo {QueueFull, "QueueFull", 503, true, "The queue holds its limit of tokens or bytes."},
    ResultCodeInfo {CustomerOverShare, "CustomerOverShare", 429, true, "The customer has used its share of capacity."},
    ResultCodeInfo {NoUpstream, "NoUpstream", 503, true, "No live upstream serves the model or service."},
    ResultCodeInfo {UpstreamLeaving, "UpstreamLeaving", 503, true, "The upstream is leaving and takes no new work."},
    ResultCodeInfo {MemoryExhausted, "MemoryExhausted", 503, true, "The upstream's KV memory is reserved."},
    ResultCodeInfo {
        GroupUnavailable, "GroupUnavailable", 503, true, "No group of upstreams could be reserved for the prompt."},
    ResultCodeInfo {StoreUnavailable,
                    "StoreUnavailable",
                    503,
                    true,
                    "The key-value service is unavailable; use an operation id instead of an idempotency key."},
    ResultCodeInfo {RetryBudgetExhausted, "RetryBudgetExhausted", 503, true, "The retry budget is used up."},
    ResultCodeInfo {NotReady, "NotReady", 503, true, "The instance has no configuration yet."},
    ResultCodeInfo {ShuttingDown, "ShuttingDown", 503, true, "The instance is shutting down."},
    ResultCodeInfo {AttemptCancelled, "AttemptCancelled", 409, true, "The attempt was cancelled before it started."},
    ResultCodeInfo {StaleFencingToken, "StaleFencingToken", 409, true, "The order carries an old fencing token."},
    ResultCodeInfo {Unauthorized, "Unauthorized", 403, true, "The sender may not give this order."},
    ResultCodeInfo {OperationInProgress, "OperationInProgress", 409, false, "The operation is still running."},
    ResultCodeInfo {WrongIncarnation,
                    "WrongIncarnation",
                    409,
                    true,
                    "The message was meant for another incarnation of this instance."},
    ResultCodeInfo {PromptQuarantined,
                    "PromptQuarantined",
                    503,
                    true,
                    "The request, or a part of its prompt, has crashed upstreams and is kept from them for a time."},
    ResultCodeInfo {DeadlineExceeded, "DeadlineExceeded", 504, false, "The request did not end before its deadline."},
    ResultCodeInfo {OutcomeUnknown, "OutcomeUnknown", 502, false, "It is not known whether the request was run."},
    ResultCodeInfo {UpstreamFailed, "UpstreamFailed", 502, false, "The upstream failed while it ran the request."},
    ResultCodeInfo {StreamIncomplete, "StreamIncomplete", 502, false, "The answer ended before its last token."},
    ResultCodeInfo {ServiceFailed, "ServiceFailed", 502, false, "The plain service failed while it ran the call."},
    ResultCodeInfo {ConfigInvalid, "ConfigInvalid", 400, true, "A declaration is not valid."},
    ResultCodeInfo {ConfigConflict, "ConfigConflict", 409, true, "Another change was accepted in between."},
    ResultCodeInfo {ConfigStale, "ConfigStale", 409, true, "The change is based on an old revision."},
    ResultCodeInfo {ConfigOutcomeUnknown,
                    "ConfigOutcomeUnknown",
                    504,
                    false,
                    "It is not known yet whether the change was accepted."},
    ResultCodeInfo {ConfigNotInForce,
                    "ConfigNotInForce",
                    504,
                    false,
                    "The change was accepted but is not in force on every reached instance yet."},
    ResultCodeInfo {PermissionDenied, "PermissionDenied", 403, true, "The operator's role does not allow the call."},
    ResultCodeInfo {RevisionNotFound, "RevisionNotFound", 404, true, "The configuration log has no such revision."},
    ResultCodeInfo {InternalError, "InternalError", 500, false, "An invariant of ibismast was violated."},
    ResultCodeInfo {SettingsInvalid, "SettingsInvalid", 500, true, "A setting is not valid."},
    ResultCodeInfo {ProtocolError, "ProtocolError", 502, false, "A peer sent a message that could not be decoded."},
};

} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return ResultCodeTable;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto entry = std::ranges::find(ResultCodeTable, code, &ResultCodeInfo::code);
    assert(entry != ResultCodeTable.end());
    return *entry;
}

} // namespace ibismast
