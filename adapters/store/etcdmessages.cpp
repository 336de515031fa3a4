#include "adapters/store/etcdmessages.h"

#include <QJsonArray>

#include <algorithm>
#include <array>

namespace ibismast::etcd
{

namespace
{

QString encode(const std::string &bytes)
{
    return QString::fromLatin1(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
}

std::string decode(const QJsonValue &value)
{
    return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

QString text(std::int64_t number)
{
    return QString::number(number);
}

std::int64_t integer(const QJsonValue &value)
{
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

StoreRevision headerRevision(const QJsonObject &answer)
{
    return StoreRevision(integer(answer["header"].toObject()["revision"]));
}

StoreEntry parseEntry(const QJsonObject &object)
{
    return {decode(object["key"]),
            decode(object["value"]),
            StoreRevision(integer(object["mod_revision"])),
            StoreLeaseId(integer(object["lease"]))};
}

std::vector<StoreEntry> parseEntries(const QJsonValue &list)
{
    std::vector<StoreEntry> entries;
    for (const auto &value : list.toArray()) {
        entries.push_back(parseEntry(value.toObject()));
    }
    return entries;
}

QJsonObject rangeBody(const std::string &key, const std::string &rangeEnd)
{
    QJsonObject body {{"key", encode(key)}};
    if (!rangeEnd.empty()) {
        body["range_end"] = encode(rangeEnd);
    }
    return body;
}

GatewayRequest request(const StoreRead &read)
{
    QJsonObject body = rangeBody(read.key, read.rangeEnd);
    if (read.limit > 0) {
        body["limit"] = text(read.limit);
    }
    return {"/v3/kv/range", body};
}

GatewayRequest request(const StoreTransactionCall &call)
{
    QJsonArray compares;
    for (const StoreCompare &compare : call.compares) {
        compares.append(QJsonObject {{"target", "MOD"},
                                     {"result", "EQUAL"},
                                     {"key", encode(compare.key)},
                                     {"mod_revision", text(compare.modRevision.value())}});
    }
    QJsonArray success;
    for (const StorePut &put : call.puts) {
        QJsonObject body {{"key", encode(put.key)}, {"value", encode(put.value)}};
        if (put.lease != StoreLeaseId()) {
            body["lease"] = text(put.lease.value());
        }
        success.append(QJsonObject {{"request_put", body}});
    }
    for (const std::string &key : call.deletes) {
        success.append(QJsonObject {{"request_delete_range", rangeBody(key, {})}});
    }
    QJsonArray failure;
    for (const std::string &key : call.readOnFailure) {
        failure.append(QJsonObject {{"request_range", rangeBody(key, {})}});
    }
    return {"/v3/kv/txn", {{"compare", compares}, {"success", success}, {"failure", failure}}};
}

GatewayRequest request(const StoreLeaseGrant &grant)
{
    // The protocol counts whole seconds.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(grant.timeToLive);
    return {"/v3/lease/grant", {{"TTL", text(seconds.count())}}};
}

GatewayRequest request(const StoreLeaseKeepAlive &keepAlive)
{
    return {"/v3/lease/keepalive", {{"ID", text(keepAlive.lease.value())}}};
}

GatewayRequest request(const StoreLeaseRevoke &revoke)
{
    return {"/v3/lease/revoke", {{"ID", text(revoke.lease.value())}}};
}

GatewayRequest request(const StoreWatch &watch)
{
    QJsonObject body = rangeBody(watch.key, watch.rangeEnd);
    if (watch.fromRevision > StoreRevision()) {
        body["start_revision"] = text(watch.fromRevision.value());
    }
    return {"/v3/watch", {{"create_request", body}}};
}

GatewayRequest request([[maybe_unused]] const StoreWatchCancel &cancel)
{
    return {};
}

StoreOutcome parseTransaction(const QJsonObject &answer)
{
    StoreTransactionResult result;
    result.succeeded = answer["succeeded"].toBool();
    result.revision = headerRevision(answer);
    for (const auto &response : answer["responses"].toArray()) {
        const QJsonObject range = response.toObject()["response_range"].toObject();
        std::ranges::move(parseEntries(range["kvs"]), std::back_inserter(result.entries));
    }
    return result;
}

StoreOutcome parseLease(const QJsonObject &answer)
{
    return StoreLeaseResult {StoreLeaseId(integer(answer["ID"])), std::chrono::seconds(integer(answer["TTL"]))};
}

} // namespace

GatewayRequest toRequest(const StoreOperation &operation)
{
    return std::visit(
        [](const auto &value) {
            return request(value);
        },
        operation);
}

std::optional<StoreOutcome> parseAnswer(const StoreOperation &operation, const QJsonObject &answer)
{
    // The answer to a keep-alive is a stream of one message.
    const QJsonObject body = answer.contains("result") ? answer["result"].toObject() : answer;
    if (!body["header"].isObject()) {
        return std::nullopt;
    }
    return std::visit(Overloaded {
                          [&](const StoreRead &) -> std::optional<StoreOutcome> {
                              return StoreReadResult {parseEntries(body["kvs"]), headerRevision(body)};
                          },
                          [&](const StoreTransactionCall &) -> std::optional<StoreOutcome> {
                              return parseTransaction(body);
                          },
                          [&](const StoreLeaseGrant &) -> std::optional<StoreOutcome> {
                              return parseLease(body);
                          },
                          [&](const StoreLeaseKeepAlive &) -> std::optional<StoreOutcome> {
                              return parseLease(body);
                          },
                          [&](const StoreLeaseRevoke &revoke) -> std::optional<StoreOutcome> {
                              return StoreLeaseResult {revoke.lease, Duration::zero()};
                          },
                          [](const auto &) -> std::optional<StoreOutcome> {
                              return std::nullopt;
                          },
                      },
                      operation);
}

std::optional<WatchMessage> parseWatchMessage(const QJsonObject &result)
{
    if (!result["header"].isObject()) {
        return std::nullopt;
    }
    WatchMessage message;
    message.created = result["created"].toBool();
    message.canceled = result["canceled"].toBool();
    message.storeRevision = headerRevision(result);
    for (const auto &value : result["events"].toArray()) {
        const QJsonObject event = value.toObject();
        StoreEntry entry = parseEntry(event["kv"].toObject());
        message.lastChange = std::max(message.lastChange, entry.modRevision);
        (event["type"].toString() == "DELETE" ? message.deletes : message.puts).push_back(std::move(entry));
    }
    return message;
}

bool provesNoEffect(int httpStatus)
{
    // Invalid argument, no such lease, precondition failed, too many requests: the service refuses these before it
    // proposes the change. Other errors, such as a timeout or a change of leader, leave the outcome open.
    static constexpr std::array Refusals {400, 401, 403, 404, 412, 429};
    return std::ranges::find(Refusals, httpStatus) != Refusals.end();
}

bool readsOnly(const StoreOperation &operation)
{
    if (const auto *transaction = std::get_if<StoreTransactionCall>(&operation)) {
        return transaction->puts.empty() && transaction->deletes.empty();
    }
    return std::holds_alternative<StoreRead>(operation) || std::holds_alternative<StoreWatch>(operation);
}

} // namespace ibismast::etcd
