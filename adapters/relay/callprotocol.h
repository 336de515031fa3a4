#pragma once

#include "adapters/plumbing/httpmessage.h"

#include "ibismast/relay/relaycore.h"

namespace ibismast
{

/// Header names and values, in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What the relay tells an upstream beside the caller's own request.
struct UpstreamCallDetails
{
    std::string requestId;
    InstanceId upstream;
    CustomerId customer;
    std::vector<AttemptHelper> helpers;
    /// Event behind which the stream continues; empty for the whole stream.
    std::string lastEventId;
    Duration timeLeft {};
    /// Rank at the engine; empty if it gets none.
    std::optional<EngineRank> rank {};
};

/// An upstream's answer, decoded.
struct DecodedAnswer
{
    ResponseHead head;
    /// True if the answer names another call.
    bool foreign = false;
    /// True if the answer names no call. It is not valid then.
    bool unidentified = false;
};

/// Header names of the platform, behind the product's types.
class CallProtocol
{
public:
    virtual ~CallProtocol() = default;

    /// Decodes a caller's request. Fails with `MalformedRequest` if a field has a wrong form.
    [[nodiscard]] virtual Result<IncomingCall> decodeCall(const HttpHead &head) const = 0;
    /// True if the relay replaces or removes the caller's header @p name.
    [[nodiscard]] virtual bool isReplaced(std::string_view name) const = 0;
    /// Returns the headers that replace them.
    [[nodiscard]] virtual HttpHeaders upstreamHeaders(const UpstreamCallDetails &details) const = 0;
    /// Decodes the head of an answer to the call @p requestId.
    [[nodiscard]] virtual DecodedAnswer decodeAnswer(const HttpHead &head, const std::string &requestId) const = 0;
    /// Returns the headers of an answer of the relay's own to the call @p requestId.
    [[nodiscard]] virtual HttpHeaders ownAnswerHeaders(const std::string &requestId) const = 0;
};

} // namespace ibismast
