#pragma once

#include "ibismast/core/strongtypes.h"

#include <optional>

namespace ibismast
{

/// Name of one running process of ibismast or of the upstream beside it; unique in the fleet.
using InstanceId = StrongString<struct InstanceIdTag>;
/// Name of a failure domain (availability zone).
using FailureDomain = StrongString<struct FailureDomainTag>;
/// Name of a customer.
using CustomerId = StrongString<struct CustomerIdTag>;
/// Name of a model deployment.
using ModelName = StrongString<struct ModelNameTag>;
/// Name of a plain service.
using ServiceName = StrongString<struct ServiceNameTag>;

/// Part of a prompt that other prompts may share, such as a system prompt; the same in every prompt that holds it.
using PromptPartId = StrongInteger<struct PromptPartIdTag, std::uint64_t>;

/// Hash of what stays the same when a request is sent again for its customer: host, method, target and body.
using RequestHash = StrongInteger<struct RequestHashTag, std::uint64_t>;

/// Identifies one run of a process; a restart of the same instance gets a larger number.
using Incarnation = StrongInteger<struct IncarnationTag, std::uint64_t>;
/// Position in the configuration log; grows by one with each accepted change.
using Revision = StrongInteger<struct RevisionTag>;
/// Fencing number of a lease: the store revision at which the lease record was written.
using FencingToken = StrongInteger<struct FencingTokenTag>;

/// Identifies a request in the fleet: the entry's incarnation and a sequence number within it.
struct RequestId
{
    Incarnation entry;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

/// Identifies one dispatch of a request to an upstream.
struct AttemptId
{
    RequestId request;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// Identifies a call of a plain service. It names the agent run that alone knows the outcome of the call.
struct OperationId
{
    InstanceId agent;
    Incarnation incarnation;
    std::uint64_t number = 0;

    auto operator<=>(const OperationId &) const = default;
};

/// Returns @p id in hexadecimal digits.
[[nodiscard]] std::string toString(PromptPartId id);
/// Returns @p hash in hexadecimal digits.
[[nodiscard]] std::string toString(RequestHash hash);
/// Returns @p id as `<incarnation>-<sequence>` in hexadecimal digits.
[[nodiscard]] std::string toString(const RequestId &id);
/// Returns @p id as `<incarnation>-<sequence>-<attempt>` in hexadecimal digits.
[[nodiscard]] std::string toString(const AttemptId &id);
/// Returns @p id as `<agent>.<incarnation>.<number>`, the form that callers send back.
[[nodiscard]] std::string toString(const OperationId &id);

/// Parses the forms written by `toString`; returns nothing if @p text has another form.
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view text);
[[nodiscard]] std::optional<AttemptId> parseAttemptId(std::string_view text);
[[nodiscard]] std::optional<OperationId> parseOperationId(std::string_view text);

} // namespace ibismast
