#include "wire/thriftmessages.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ibismast
{

namespace
{

/// Converts fields and keeps the first violation of a range.
class FieldReader
{
public:
    [[nodiscard]] const std::string &violation() const
    {
        return m_violation;
    }

    void refuse(std::string_view field, const std::string &value)
    {
        if (m_violation.empty()) {
            m_violation = "field " + std::string(field) + " has the invalid value " + value;
        }
    }

    Tokens tokens(std::string_view field, std::int64_t value)
    {
        if (value < 0) {
            refuse(field, std::to_string(value));
        }
        return Tokens(value);
    }
    std::uint32_t small(std::string_view field, std::int64_t value)
    {
        if (value < 0 || value > UINT32_MAX) {
            refuse(field, std::to_string(value));
        }
        return static_cast<std::uint32_t>(value);
    }
    double rate(std::string_view field, double value)
    {
        if (!std::isfinite(value) || value < 0) {
            refuse(field, std::to_string(value));
        }
        return value;
    }
    template<typename Enum> Enum choice(std::string_view field, std::int32_t value, Enum last)
    {
        if (value < 0 || value > static_cast<std::int32_t>(last)) {
            refuse(field, std::to_string(value));
            return last;
        }
        return static_cast<Enum>(value);
    }
    Error error(wire::Error &&source)
    {
        const auto known = std::ranges::any_of(resultCodes(), [&source](const ResultCodeInfo &info) {
            return static_cast<std::int32_t>(info.code) == source.code;
        });
        if (!known) {
            refuse("code", std::to_string(source.code));
            return {};
        }
        Error result {static_cast<ResultCode>(source.code), std::move(source.message), std::nullopt};
        if (source.__isset.retryAfter) {
            result.retryAfter = Duration(source.retryAfter);
        }
        return result;
    }
    AttemptId attempt(const wire::AttemptId &id)
    {
        return {request(id.request), small("attempt.number", id.number)};
    }
    static RequestId request(const wire::RequestId &id)
    {
        return {Incarnation(number(id.entry)), number(id.sequence)};
    }
    static OperationId operation(wire::OperationId &&id)
    {
        return {InstanceId(std::move(id.agent)), Incarnation(number(id.incarnation)), number(id.number)};
    }
    static std::uint64_t number(std::int64_t value)
    {
        return std::bit_cast<std::uint64_t>(value);
    }
    static std::vector<std::uint64_t> numbers(const std::vector<std::int64_t> &values)
    {
        std::vector<std::uint64_t> result;
        result.reserve(values.size());
        for (const std::int64_t value : values) {
            result.push_back(number(value));
        }
        return result;
    }
    template<typename Name> static std::vector<Name> names(std::vector<std::string> &&values)
    {
        std::vector<Name> result;
        result.reserve(values.size());
        for (std::string &value : values) {
            result.emplace_back(std::move(value));
        }
        return result;
    }
    static SharedBody body(std::string &&text)
    {
        return std::make_shared<const std::string>(std::move(text));
    }
    PeerSummary summary(wire::PeerSummary &&source)
    {
        return {InstanceId(std::move(source.instance)),
                Incarnation(number(source.incarnation)),
                choice("role", source.role, InstanceRole::Agent),
                choice("state", source.state, InstanceState::Leaving),
                FailureDomain(std::move(source.domain)),
                std::move(source.address)};
    }
    LoadReport load(wire::LoadReport &&source)
    {
        LoadReport result;
        result.models = names<ModelName>(std::move(source.models));
        result.services = names<ServiceName>(std::move(source.services));
        if (source.outstanding.size() != result.outstanding.size()) {
            refuse("outstanding", "with " + std::to_string(source.outstanding.size()) + " classes");
        } else {
            std::ranges::transform(source.outstanding, result.outstanding.begin(), [this](std::int64_t value) {
                return tokens("outstanding", value);
            });
        }
        result.freeMemory = tokens("freeMemory", source.freeMemory);
        result.memoryCapacity = tokens("memoryCapacity", source.memoryCapacity);
        result.prefillRate = rate("prefillRate", source.prefillRate);
        result.decodeRate = rate("decodeRate", source.decodeRate);
        result.cachedPrefixes = numbers(source.cachedPrefixes);
        return result;
    }
    GroupSegment segment(wire::GroupSegment &&source)
    {
        GroupSegment result;
        result.members = names<InstanceId>(std::move(source.members));
        result.index = small("index", source.index);
        if (result.index >= result.members.size()) {
            refuse("index", std::to_string(source.index));
        }
        result.offset = tokens("offset", source.offset);
        result.length = tokens("length", source.length);
        result.importHandle = std::move(source.importHandle);
        return result;
    }

private:
    std::string m_violation;
};

DispatchRequest read(FieldReader &reader, wire::DispatchRequest &&source)
{
    DispatchRequest result;
    result.attempt = reader.attempt(source.attempt);
    result.customer = CustomerId(std::move(source.customer));
    result.customerWeight = reader.rate("customerWeight", source.customerWeight);
    result.model = ModelName(std::move(source.model));
    result.promptTokens = reader.tokens("promptTokens", source.promptTokens);
    result.maxOutputTokens = reader.tokens("maxOutputTokens", source.maxOutputTokens);
    result.timeLeft = Duration(source.timeLeft);
    result.prefixHashes = FieldReader::numbers(source.prefixHashes);
    result.resumeFrom = FieldReader::number(source.resumeFrom);
    result.resumeText = std::move(source.resumeText);
    result.chat = source.chat;
    result.body = FieldReader::body(std::move(source.body));
    if (source.__isset.group) {
        result.group = reader.segment(std::move(source.group));
    }
    return result;
}

OperationCall read(wire::OperationCall &&source)
{
    return {FieldReader::operation(std::move(source.operation)),
            FieldReader::request(source.request),
            CustomerId(std::move(source.customer)),
            ServiceName(std::move(source.serviceName)),
            std::move(source.method),
            std::move(source.path),
            std::move(source.contentType),
            FieldReader::body(std::move(source.body)),
            Duration(source.timeLeft),
            source.idempotent};
}

OperationResult read(FieldReader &reader, wire::OperationResult &&source)
{
    OperationResult result;
    result.operation = FieldReader::operation(std::move(source.operation));
    result.request = FieldReader::request(source.request);
    result.outcome = reader.choice("outcome", source.outcome, OperationOutcome::InProgress);
    result.httpStatus = source.httpStatus;
    result.contentType = std::move(source.contentType);
    result.body = FieldReader::body(std::move(source.body));
    if (source.__isset.error) {
        result.error = reader.error(std::move(source.error));
    }
    return result;
}

Heartbeat read(FieldReader &reader, wire::Heartbeat &&source)
{
    Heartbeat result;
    result.self = reader.summary(std::move(source.summary));
    if (source.__isset.load) {
        result.load = reader.load(std::move(source.load));
    }
    for (wire::PeerSummary &peer : source.peers) {
        result.peers.push_back(reader.summary(std::move(peer)));
    }
    return result;
}

std::optional<Error> readOptional(FieldReader &reader, bool isSet, wire::Error &&source)
{
    return isSet ? std::optional<Error>(reader.error(std::move(source))) : std::nullopt;
}

/// Reads the messages between entry and agent that concern attempts; returns nothing for any other message.
std::optional<PeerMessage> readAttemptMessage(FieldReader &reader, wire::PeerMessage &source)
{
    const auto &isSet = source.__isset;
    if (isSet.dispatchRequest) {
        return read(reader, std::move(source.dispatchRequest));
    }
    if (isSet.dispatchAccepted) {
        return DispatchAccepted {reader.attempt(source.dispatchAccepted.attempt),
                                 Duration(source.dispatchAccepted.expectedFirstToken)};
    }
    if (isSet.dispatchRefused) {
        wire::DispatchRefused &refused = source.dispatchRefused;
        return DispatchRefused {reader.attempt(refused.attempt),
                                reader.error(std::move(refused.error)),
                                FieldReader::names<InstanceId>(std::move(refused.betterPlaces))};
    }
    if (isSet.streamPart) {
        wire::StreamPart &part = source.streamPart;
        return StreamPart {
            reader.attempt(part.attempt), FieldReader::number(part.firstSequence), std::move(part.tokens)};
    }
    if (isSet.streamEnd) {
        wire::StreamEnd &end = source.streamEnd;
        return StreamEnd {
            reader.attempt(end.attempt), FieldReader::number(end.tokenCount), std::move(end.finishReason)};
    }
    if (isSet.segmentExported) {
        wire::SegmentExported &exported = source.segmentExported;
        return SegmentExported {
            reader.attempt(exported.attempt), reader.small("index", exported.index), std::move(exported.handle)};
    }
    if (isSet.attemptFailed) {
        wire::AttemptFailed &failed = source.attemptFailed;
        return AttemptFailed {
            reader.attempt(failed.attempt), reader.error(std::move(failed.error)), failed.mayHaveStarted};
    }
    if (isSet.cancelAttempt) {
        return CancelAttempt {reader.attempt(source.cancelAttempt.attempt)};
    }
    if (isSet.cancelResult) {
        return CancelResult {reader.attempt(source.cancelResult.attempt),
                             reader.choice("outcome", source.cancelResult.outcome, CancelOutcome::AlreadyEnded)};
    }
    return std::nullopt;
}

/// Reads all other messages.
std::optional<PeerMessage> readOtherMessage(FieldReader &reader, wire::PeerMessage &source)
{
    const auto &isSet = source.__isset;
    if (isSet.reserveMemory) {
        wire::ReserveMemory &reserve = source.reserveMemory;
        return ReserveMemory {reader.attempt(reserve.owner),
                              reader.tokens("amount", reserve.amount),
                              Duration(reserve.expiresIn),
                              Duration(reserve.timeLeft),
                              ModelName(std::move(reserve.model))};
    }
    if (isSet.reserveResult) {
        wire::ReserveResult &result = source.reserveResult;
        return ReserveResult {reader.attempt(result.owner),
                              readOptional(reader, result.__isset.error, std::move(result.error))};
    }
    if (isSet.releaseReservation) {
        return ReleaseReservation {reader.attempt(source.releaseReservation.owner)};
    }
    if (isSet.issueOperations) {
        return IssueOperations {FieldReader::number(source.issueOperations.call),
                                reader.small("count", source.issueOperations.count)};
    }
    if (isSet.operationsIssued) {
        return OperationsIssued {FieldReader::number(source.operationsIssued.call),
                                 FieldReader::number(source.operationsIssued.first),
                                 reader.small("count", source.operationsIssued.count)};
    }
    if (isSet.operationCall) {
        return read(std::move(source.operationCall));
    }
    if (isSet.operationResult) {
        return read(reader, std::move(source.operationResult));
    }
    if (isSet.cancelOperation) {
        return CancelOperation {FieldReader::operation(std::move(source.cancelOperation.operation)),
                                FieldReader::request(source.cancelOperation.request)};
    }
    if (isSet.heartbeat) {
        return read(reader, std::move(source.heartbeat));
    }
    if (isSet.configRequest) {
        return ConfigRequest {Revision(source.configRequest.have)};
    }
    if (isSet.configUpdate) {
        wire::ConfigUpdate &update = source.configUpdate;
        return ConfigUpdate {Revision(update.fromRevision),
                             Revision(update.toRevision),
                             std::move(update.snapshot),
                             std::move(update.records)};
    }
    if (isSet.upstreamOrder) {
        wire::UpstreamOrder &order = source.upstreamOrder;
        return UpstreamOrder {FieldReader::number(order.call),
                              FencingToken(order.token),
                              InstanceId(std::move(order.issuer)),
                              std::move(order.shard),
                              std::move(order.verb),
                              ModelName(std::move(order.model)),
                              std::move(order.version),
                              std::move(order.adapter),
                              std::move(order.role)};
    }
    if (isSet.upstreamOrderResult) {
        wire::UpstreamOrderResult &result = source.upstreamOrderResult;
        return UpstreamOrderResult {FieldReader::number(result.call),
                                    readOptional(reader, result.__isset.error, std::move(result.error))};
    }
    return std::nullopt;
}

} // namespace

Result<PeerFrame> fromThrift(wire::PeerFrame &&frame)
{
    FieldReader reader;
    std::optional<PeerMessage> message = readAttemptMessage(reader, frame.message);
    if (!message) {
        message = readOtherMessage(reader, frame.message);
    }
    if (!message) {
        return Error {ResultCode::ProtocolError, "the frame holds no known message", std::nullopt};
    }
    if (frame.sender.empty()) {
        reader.refuse("sender", "\"\"");
    }
    if (!reader.violation().empty()) {
        return Error {ResultCode::ProtocolError, reader.violation(), std::nullopt};
    }
    return PeerFrame {InstanceId(std::move(frame.sender)),
                      Incarnation(FieldReader::number(frame.incarnation)),
                      Revision(frame.configRevision),
                      std::move(*message)};
}

} // namespace ibismast
