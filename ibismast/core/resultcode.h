#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace ibismast
{

/// Numbered result of a call. The numbers are part of the interface and never change; docs/ERRORS.md lists them.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1000: the caller's input
    MalformedRequest = 1001,
    BodyTooLarge = 1002,
    RequestTimeout = 1003,
    UnknownModel = 1004,
    UnknownService = 1005,
    InvalidApiKey = 1006,
    InvalidArgument = 1007,
    PromptTooLong = 1008,
    UnsupportedPipelining = 1009,
    UnknownOperation = 1010,
    CallerDisconnected = 1011,
    NotFound = 1012,
    MethodNotAllowed = 1013,

    // 2000: refused before execution
    DeadlineNotFeasible = 2001,
    QueueFull = 2002,
    CustomerOverShare = 2003,
    NoUpstream = 2004,
    UpstreamLeaving = 2005,
    MemoryExhausted = 2006,
    GroupUnavailable = 2007,
    StoreUnavailable = 2008,
    RetryBudgetExhausted = 2009,
    NotReady = 2010,
    ShuttingDown = 2011,
    AttemptCancelled = 2012,
    StaleFencingToken = 2013,
    Unauthorized = 2014,
    OperationInProgress = 2015,
    WrongIncarnation = 2016,
    PromptQuarantined = 2017,

    // 3000: failed after execution may have started
    DeadlineExceeded = 3001,
    OutcomeUnknown = 3002,
    UpstreamFailed = 3003,
    StreamIncomplete = 3004,
    ServiceFailed = 3005,

    // 4000: configuration and operators
    ConfigInvalid = 4001,
    ConfigConflict = 4002,
    ConfigStale = 4003,
    ConfigOutcomeUnknown = 4004,
    ConfigNotInForce = 4005,
    PermissionDenied = 4006,
    RevisionNotFound = 4007,

    // 5000: ibismast itself
    InternalError = 5001,
    SettingsInvalid = 5002,
    ProtocolError = 5003,
};

/// Meaning of one result code.
struct ResultCodeInfo
{
    ResultCode code = ResultCode::Ok;
    /// Name of the enumerator.
    std::string_view name;
    /// Status that callers get over HTTP.
    int httpStatus = 200;
    /// True if the code guarantees that the request was not run.
    bool notRun = false;
    /// Explanation for callers and operators, one sentence.
    std::string_view text;
};

/// Returns the table of all codes, ordered by number.
[[nodiscard]] std::span<const ResultCodeInfo> resultCodes();

/// Returns the entry of @p code.
[[nodiscard]] const ResultCodeInfo &resultCodeInfo(ResultCode code);

} // namespace ibismast
