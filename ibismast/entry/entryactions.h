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
    /// Time until the deadline, measured from the call of `EntryCore::submit`.
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
    /// Operation id that the caller obtained before, or none.
    std::optional<OperationId> operation;
    /// Value of the `Idempotency-Key` header; empty if the header was not sent.
    std::string idempotencyKey;
};

/// Delivers tokens of the answer to the caller.
struct DeliverTokens
{
    RequestId request;
    std::vector<std::string> tokens;
};

/// Ends a completion request with success; all tokens have been delivered.
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
    /// Operation id with which the caller can safely repeat the call to learn its outcome, or none.
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

/// Ends a request for an operation id with success.
struct DeliverOperationId
{
    RequestId request;
    OperationId operation;
};

/// Action that an `EntryCore` requests from its process.
using EntryAction = std::
    variant<SendToPeer, StoreCall, DeliverTokens, DeliverEnd, DeliverFailure, DeliverServiceReply, DeliverOperationId>;

/// Actions in the order in which they must be carried out.
using EntryActions = std::vector<EntryAction>;

} // namespace ibismast
