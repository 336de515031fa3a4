#pragma once

#include "ibismast/entry/entryactions.h"

#include <memory>

namespace ibismast
{

/// Answer to one caller. After `end`, `failure`, `serviceReply` or `operationId` no other function is called.
class CallerReply
{
public:
    virtual ~CallerReply() = default;

    /// The request has been taken under the id @p request. Called before any other function.
    virtual void started(const RequestId &request) = 0;
    virtual void tokens(const DeliverTokens &part) = 0;
    virtual void end(const DeliverEnd &end) = 0;
    virtual void failure(const DeliverFailure &failure) = 0;
    virtual void serviceReply(const DeliverServiceReply &reply) = 0;
    virtual void operationId(const DeliverOperationId &operation) = 0;
};

/// What the HTTP front end needs from the entry process.
class EntryPort
{
public:
    virtual ~EntryPort() = default;

    /// Starts a request; its answer goes to @p reply, possibly before the call returns.
    virtual void submit(CompletionRequest request, std::shared_ptr<CallerReply> reply) = 0;
    virtual void callService(ServiceRequest request, std::shared_ptr<CallerReply> reply) = 0;
    virtual void
    requestOperationId(const ServiceName &service, Duration timeLeft, std::shared_ptr<CallerReply> reply) = 0;
    /// The caller of @p request has left.
    virtual void callerLeft(const RequestId &request) = 0;
    /// Returns why the instance takes no requests, or nothing if it does.
    [[nodiscard]] virtual std::optional<Error> refusal() const = 0;
};

} // namespace ibismast
