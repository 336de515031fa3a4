#include "wire/thriftmessages.h"

#include <bit>

namespace ibismast
{

namespace
{

std::int64_t bits(std::uint64_t value)
{
    return std::bit_cast<std::int64_t>(value);
}

std::vector<std::int64_t> bits(const std::vector<std::uint64_t> &values)
{
    std::vector<std::int64_t> result;
    result.reserve(values.size());
    for (const std::uint64_t value : values) {
        result.push_back(bits(value));
    }
    return result;
}

template<typename Name> std::vector<std::string> names(const std::vector<Name> &values)
{
    std::vector<std::string> result;
    result.reserve(values.size());
    for (const Name &value : values) {
        result.push_back(value.value());
    }
    return result;
}

std::string bodyText(const SharedBody &body)
{
    return body ? *body : std::string();
}

wire::RequestId convert(const RequestId &id)
{
    wire::RequestId result;
    result.entry = bits(id.entry.value());
    result.sequence = bits(id.sequence);
    return result;
}

wire::AttemptId convert(const AttemptId &id)
{
    wire::AttemptId result;
    result.request = convert(id.request);
    result.number = id.number;
    return result;
}

wire::OperationId convert(const OperationId &id)
{
    wire::OperationId result;
    result.agent = id.agent.value();
    result.incarnation = bits(id.incarnation.value());
    result.number = bits(id.number);
    return result;
}

wire::Error convert(const Error &error)
{
    wire::Error result;
    result.code = static_cast<std::int32_t>(error.code);
    result.message = error.message;
    if (error.retryAfter) {
        result.__set_retryAfter(error.retryAfter->count());
    }
    return result;
}

wire::GroupSegment convert(const GroupSegment &segment)
{
    wire::GroupSegment result;
    result.members = names(segment.members);
    result.index = segment.index;
    result.offset = segment.offset.value();
    result.length = segment.length.value();
    result.importHandle = segment.importHandle;
    return result;
}

wire::LoadReport convert(const LoadReport &report)
{
    wire::LoadReport result;
    result.models = names(report.models);
    result.services = names(report.services);
    for (const Tokens tokens : report.outstanding) {
        result.outstanding.push_back(tokens.value());
    }
    result.freeMemory = report.freeMemory.value();
    result.memoryCapacity = report.memoryCapacity.value();
    result.prefillRate = report.prefillRate;
    result.decodeRate = report.decodeRate;
    result.cachedPrefixes = bits(report.cachedPrefixes);
    return result;
}

wire::PeerSummary convert(const PeerSummary &summary)
{
    wire::PeerSummary result;
    result.instance = summary.instance.value();
    result.incarnation = bits(summary.incarnation.value());
    result.role = static_cast<std::int32_t>(summary.role);
    result.state = static_cast<std::int32_t>(summary.state);
    result.domain = summary.domain.value();
    result.address = summary.address;
    return result;
}

/// Writes one core message into the member of the union that belongs to it.
class UnionWriter
{
public:
    explicit UnionWriter(wire::PeerMessage &target) : m_target(target) { }

    void operator()(const DispatchRequest &message) const
    {
        wire::DispatchRequest &result = m_target.dispatchRequest;
        m_target.__isset.dispatchRequest = true;
        result.attempt = convert(message.attempt);
        result.customer = message.customer.value();
        result.customerWeight = message.customerWeight;
        result.model = message.model.value();
        result.promptTokens = message.promptTokens.value();
        result.maxOutputTokens = message.maxOutputTokens.value();
        result.timeLeft = message.timeLeft.count();
        result.prefixHashes = bits(message.prefixHashes);
        result.resumeFrom = bits(message.resumeFrom);
        result.resumeText = message.resumeText;
        result.chat = message.chat;
        result.body = bodyText(message.body);
        if (message.group) {
            result.__set_group(convert(*message.group));
        }
    }
    void operator()(const DispatchAccepted &message) const
    {
        wire::DispatchAccepted &result = m_target.dispatchAccepted;
        m_target.__isset.dispatchAccepted = true;
        result.attempt = convert(message.attempt);
        result.expectedFirstToken = message.expectedFirstToken.count();
    }
    void operator()(const DispatchRefused &message) const
    {
        wire::DispatchRefused &result = m_target.dispatchRefused;
        m_target.__isset.dispatchRefused = true;
        result.attempt = convert(message.attempt);
        result.error = convert(message.error);
        result.betterPlaces = names(message.betterPlaces);
    }
    void operator()(const StreamPart &message) const
    {
        wire::StreamPart &result = m_target.streamPart;
        m_target.__isset.streamPart = true;
        result.attempt = convert(message.attempt);
        result.firstSequence = bits(message.firstSequence);
        result.tokens = message.tokens;
    }
    void operator()(const StreamEnd &message) const
    {
        wire::StreamEnd &result = m_target.streamEnd;
        m_target.__isset.streamEnd = true;
        result.attempt = convert(message.attempt);
        result.tokenCount = bits(message.tokenCount);
        result.finishReason = message.finishReason;
    }
    void operator()(const SegmentExported &message) const
    {
        wire::SegmentExported &result = m_target.segmentExported;
        m_target.__isset.segmentExported = true;
        result.attempt = convert(message.attempt);
        result.index = message.index;
        result.handle = message.handle;
    }
    void operator()(const AttemptFailed &message) const
    {
        wire::AttemptFailed &result = m_target.attemptFailed;
        m_target.__isset.attemptFailed = true;
        result.attempt = convert(message.attempt);
        result.error = convert(message.error);
        result.mayHaveStarted = message.mayHaveStarted;
    }
    void operator()(const CancelAttempt &message) const
    {
        m_target.__isset.cancelAttempt = true;
        m_target.cancelAttempt.attempt = convert(message.attempt);
    }
    void operator()(const CancelResult &message) const
    {
        m_target.__isset.cancelResult = true;
        m_target.cancelResult.attempt = convert(message.attempt);
        m_target.cancelResult.outcome = static_cast<std::int32_t>(message.outcome);
    }
    void operator()(const ReserveMemory &message) const
    {
        wire::ReserveMemory &result = m_target.reserveMemory;
        m_target.__isset.reserveMemory = true;
        result.owner = convert(message.owner);
        result.amount = message.amount.value();
        result.expiresIn = message.expiresIn.count();
        result.timeLeft = message.timeLeft.count();
        result.model = message.model.value();
    }
    void operator()(const ReserveResult &message) const
    {
        m_target.__isset.reserveResult = true;
        m_target.reserveResult.owner = convert(message.owner);
        if (message.error) {
            m_target.reserveResult.__set_error(convert(*message.error));
        }
    }
    void operator()(const ReleaseReservation &message) const
    {
        m_target.__isset.releaseReservation = true;
        m_target.releaseReservation.owner = convert(message.owner);
    }
    void operator()(const IssueOperations &message) const
    {
        m_target.__isset.issueOperations = true;
        m_target.issueOperations.call = bits(message.call);
        m_target.issueOperations.count = message.count;
    }
    void operator()(const OperationsIssued &message) const
    {
        m_target.__isset.operationsIssued = true;
        m_target.operationsIssued.call = bits(message.call);
        m_target.operationsIssued.first = bits(message.first);
        m_target.operationsIssued.count = message.count;
    }
    void operator()(const OperationCall &message) const
    {
        wire::OperationCall &result = m_target.operationCall;
        m_target.__isset.operationCall = true;
        result.operation = convert(message.operation);
        result.request = convert(message.request);
        result.customer = message.customer.value();
        result.serviceName = message.service.value();
        result.method = message.method;
        result.path = message.path;
        result.contentType = message.contentType;
        result.body = bodyText(message.body);
        result.timeLeft = message.timeLeft.count();
        result.idempotent = message.idempotent;
    }
    void operator()(const OperationResult &message) const
    {
        wire::OperationResult &result = m_target.operationResult;
        m_target.__isset.operationResult = true;
        result.operation = convert(message.operation);
        result.request = convert(message.request);
        result.outcome = static_cast<std::int32_t>(message.outcome);
        result.httpStatus = message.httpStatus;
        result.contentType = message.contentType;
        result.body = bodyText(message.body);
        if (message.error) {
            result.__set_error(convert(*message.error));
        }
    }
    void operator()(const CancelOperation &message) const
    {
        m_target.__isset.cancelOperation = true;
        m_target.cancelOperation.operation = convert(message.operation);
        m_target.cancelOperation.request = convert(message.request);
    }
    void operator()(const Heartbeat &message) const
    {
        wire::Heartbeat &result = m_target.heartbeat;
        m_target.__isset.heartbeat = true;
        result.summary = convert(message.self);
        if (message.load) {
            result.__set_load(convert(*message.load));
        }
        for (const PeerSummary &peer : message.peers) {
            result.peers.push_back(convert(peer));
        }
    }
    void operator()(const ConfigRequest &message) const
    {
        m_target.__isset.configRequest = true;
        m_target.configRequest.have = message.have.value();
    }
    void operator()(const ConfigUpdate &message) const
    {
        wire::ConfigUpdate &result = m_target.configUpdate;
        m_target.__isset.configUpdate = true;
        result.fromRevision = message.from.value();
        result.toRevision = message.to.value();
        result.snapshot = message.snapshot;
        result.records = message.records;
    }
    void operator()(const UpstreamOrder &message) const
    {
        wire::UpstreamOrder &result = m_target.upstreamOrder;
        m_target.__isset.upstreamOrder = true;
        result.call = bits(message.call);
        result.token = message.token.value();
        result.issuer = message.issuer.value();
        result.shard = message.shard;
        result.verb = message.verb;
        result.model = message.model.value();
        result.version = message.version;
        result.adapter = message.adapter;
        result.role = message.role;
    }
    void operator()(const UpstreamOrderResult &message) const
    {
        m_target.__isset.upstreamOrderResult = true;
        m_target.upstreamOrderResult.call = bits(message.call);
        if (message.error) {
            m_target.upstreamOrderResult.__set_error(convert(*message.error));
        }
    }

private:
    wire::PeerMessage &m_target;
};

} // namespace

wire::PeerFrame toThrift(const PeerFrame &frame)
{
    wire::PeerFrame result;
    result.sender = frame.sender.value();
    result.incarnation = bits(frame.incarnation.value());
    result.configRevision = frame.configRevision.value();
    std::visit(UnionWriter(result.message), frame.message);
    return result;
}

} // namespace ibismast
