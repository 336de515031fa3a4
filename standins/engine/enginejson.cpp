#include "standins/engine/enginejson.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace ibismast::enginejson
{

namespace
{

/// Answer tokens of a request that does not bound them.
constexpr qint64 DefaultMaxTokens = 256;

Error invalid(const std::string &message)
{
    return {ResultCode::InvalidArgument, message, std::nullopt};
}

std::string text(const QJsonValue &value)
{
    return value.toString().toStdString();
}

QJsonArray toStrings(const std::vector<std::uint64_t> &hashes)
{
    QJsonArray list;
    for (const std::uint64_t hash : hashes) {
        list.append(QString::number(hash));
    }
    return list;
}

GroupSegment parseSegment(const QJsonObject &object)
{
    GroupSegment segment;
    segment.members.resize(static_cast<std::size_t>(std::max<qint64>(object["count"].toInteger(1), 1)));
    segment.index = static_cast<std::uint32_t>(object["index"].toInteger());
    segment.offset = Tokens(object["offset"].toInteger());
    segment.length = Tokens(object["length"].toInteger());
    segment.importHandle = text(object["import_handle"]);
    return segment;
}

} // namespace

std::string canonicalPrompt(const QJsonObject &body)
{
    const QJsonValue prompt = body.contains("messages") ? body["messages"] : body["prompt"];
    if (prompt.isArray()) {
        return QJsonDocument(prompt.toArray()).toJson(QJsonDocument::Compact).toStdString();
    }
    return text(prompt);
}

Result<EngineSubmit> parseSubmit(const QJsonObject &body)
{
    const std::optional<AttemptId> attempt = parseAttemptId(text(body["request_id"]));
    if (!attempt) {
        return invalid("request_id: not an attempt id");
    }
    EngineSubmit submit;
    submit.attempt = *attempt;
    submit.model = ModelName(text(body["model"]));
    submit.maxOutputTokens = Tokens(body["max_tokens"].toInteger(DefaultMaxTokens));
    if (submit.maxOutputTokens <= Tokens(0)) {
        return invalid("max_tokens: must be positive");
    }
    submit.priority = body["priority"].toInt();
    const qint64 resumeFrom = body["resume_from"].toInteger();
    if (resumeFrom < 0) {
        return invalid("resume_from: must not be negative");
    }
    submit.resumeFrom = static_cast<std::uint64_t>(resumeFrom);
    submit.resumeText = text(body["resume_text"]);
    submit.chat = body.contains("messages");
    auto prompt = std::make_shared<const std::string>(canonicalPrompt(body));
    submit.promptTokens = Tokens(body["prompt_tokens"].toInteger(static_cast<qint64>((prompt->size() + 3) / 4)));
    submit.body = std::move(prompt);
    for (const auto &hash : body["prefix_hashes"].toArray()) {
        submit.prefixHashes.push_back(hash.toString().toULongLong());
    }
    if (body["segment"].isObject()) {
        submit.group = parseSegment(body["segment"].toObject());
        if (submit.group->index >= submit.group->members.size()) {
            return invalid("segment.index: must be below segment.count");
        }
    }
    return submit;
}

Result<UpstreamOrder> parseOrder(const QJsonObject &body)
{
    UpstreamOrder order;
    order.token = FencingToken(body["fencing_token"].isString() ? body["fencing_token"].toString().toLongLong()
                                                                : body["fencing_token"].toInteger());
    order.shard = text(body["shard"]);
    order.verb = text(body["verb"]);
    order.model = ModelName(text(body["model"]));
    order.version = text(body["version"]);
    order.adapter = text(body["adapter"]);
    order.role = text(body["role"]);
    if (order.verb != "load" && order.verb != "unload" && order.verb != "role") {
        return invalid("verb: must be load, unload or role");
    }
    return order;
}

QJsonObject toJson(const Error &error, bool notRun)
{
    const std::string_view name = resultCodeInfo(error.code).name;
    return {{"code", static_cast<int>(error.code)},
            {"name", QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()))},
            {"message", QString::fromStdString(error.message)},
            {"not_run", notRun}};
}

QJsonObject toJson(const EngineTokens &tokens)
{
    QJsonArray list;
    for (const std::string &token : tokens.tokens) {
        list.append(QString::fromStdString(token));
    }
    return {{"request_id", QString::fromStdString(toString(tokens.attempt))},
            {"seq", static_cast<qint64>(tokens.firstSequence)},
            {"tokens", list}};
}

QJsonObject toJson(const EngineFinished &finished)
{
    return {{"request_id", QString::fromStdString(toString(finished.attempt))},
            {"finish_reason", QString::fromStdString(finished.finishReason)},
            {"token_count", static_cast<qint64>(finished.tokenCount)}};
}

QJsonObject toJson(const EngineLoad &load)
{
    QJsonArray models;
    for (const ModelName &model : load.models) {
        models.append(QString::fromStdString(model.value()));
    }
    return {{"used_tokens", static_cast<qint64>(load.usedMemory.value())},
            {"capacity_tokens", static_cast<qint64>(load.memoryCapacity.value())},
            {"prefill_rate", load.prefillRate},
            {"decode_rate", load.decodeRate},
            {"models", models}};
}

QJsonObject toJson(const EngineCacheEvent &event)
{
    return {{"seq", static_cast<qint64>(event.sequence)},
            {"added", toStrings(event.added)},
            {"removed", toStrings(event.removed)}};
}

} // namespace ibismast::enginejson
