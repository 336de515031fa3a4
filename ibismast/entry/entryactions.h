#pragma once

#include "ibismast/agent/agentactions.h"
#include "ibismast/store/storemessages.h"

namespace ibismast
{

/// Completion request of a caller after authentication and parsing.
struct CompletionRequest
{
    CustomerId customer;
    double customerWeight = 1.0;
    ModelName model;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /// Time until the deadline, from the call of `EntryCore::submit`.
    Duration timeLeft {};
    std::vector<std::uint64_t> prefixHashes;
    bool chat = false;
    SharedBody body;
};

/// Call of a plain service after authentication and parsing.
struct ServiceRequest
{
    CustomerId customer;
    ServiceName service;
    std::string method;
    std::string path;
    std::string contentType;
    SharedBody body;
    Duration timeLeft {};
    bool idempotent = false;
    /// Operation id that the caller obtained before; empty if it has none.
    std::optional<OperationId> operation;
    /// Value of the `Idempotency-Key` header; empty if it was not sent.
    std::string idempotencyKey;
};

/// Passes tokens to the caller.
struct DeliverTokens
{
    RequestId request;
    std::vector<std::string> tokens;
};

/// Ends the answer to a completion request.
struct DeliverEnd
{
    RequestId request;
    std::string finishReason;
    Tokens promptTokens;
    Tokens outputTokens;
};

/// Ends a request with a failure.
struct DeliverFailure
{
    RequestId request;
    Error error;
    /// Operation id under which the call may be asked for again, if there is one.
    std::optional<OperationId> operation;
};

/// Ends a call of a plain service with the service's answer.
struct DeliverServiceReply
{
    RequestId request;
    OperationId operation;
    int httpStatus = 0;
    std::string contentType;
    SharedBody body;
};

/// Answers a caller that asked for an operation id.
struct DeliverOperationId
{
    RequestId request;
    OperationId operation;
};

/// What an `EntryCore` asks its process to do.
using EntryAction = std::
    variant<SendToPeer, StoreCall, DeliverTokens, DeliverEnd, DeliverFailure, DeliverServiceReply, DeliverOperationId>;

/// Actions in the order in which they must be carried out.
using EntryActions = std::vector<EntryAction>;

} // namespace ibismast
