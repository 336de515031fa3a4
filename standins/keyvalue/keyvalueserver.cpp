#include "standins/keyvalue/keyvalueserver.h"

#include "standins/keyvalue/etcdjson.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <array>

namespace ibismast
{

namespace
{

// Codes of gRPC that the gateway puts into error objects.
constexpr int GrpcInvalidArgument = 3;
constexpr int GrpcNotFound = 5;
constexpr int GrpcResourceExhausted = 8;

void fail(StandinReply &reply, int status, int grpcCode, const std::string &message)
{
    const QString text = QString::fromStdString("etcdserver: " + message);
    reply.sendJson(status, {{"error", text}, {"code", grpcCode}, {"message", text}});
}

QByteArray streamLine(const QJsonObject &result)
{
    return QJsonDocument(QJsonObject {{"result", result}}).toJson(QJsonDocument::Compact) + '\n';
}

} // namespace

KeyValueServer::KeyValueServer(const KeyValueServerSettings &settings)
    : m_settings(settings)
    , m_model(settings.model)
    , m_writeLimit(settings.writesPerSecond)
    , m_readLimit(settings.readsPerSecond)
{
    m_expiryTimer.callOnTimeout([this] {
        m_model.expireLeases(monotonicNow());
        deliverChanges();
    });
    m_expiryTimer.start(std::chrono::milliseconds(50));
}

void KeyValueServer::handle(const StandinRequest &request, const StandinReplyPointer &reply)
{
    using Method = void (KeyValueServer::*)(const QJsonObject &, StandinReply &);
    struct Route
    {
        const char *path;
        bool writes;
        Method method;
    };
    static constexpr std::array Routes {
        Route {"/v3/kv/range", false, &KeyValueServer::range},
        Route {"/v3/kv/put", true, &KeyValueServer::put},
        Route {"/v3/kv/deleterange", true, &KeyValueServer::deleteRange},
        Route {"/v3/kv/txn", true, &KeyValueServer::transaction},
        Route {"/v3/lease/grant", true, &KeyValueServer::leaseGrant},
        Route {"/v3/lease/keepalive", false, &KeyValueServer::leaseKeepAlive},
        Route {"/v3/lease/revoke", true, &KeyValueServer::leaseRevoke},
        Route {"/v3/watch", false, nullptr},
    };
    const auto route = std::ranges::find_if(Routes, [&](const Route &entry) {
        return request.path == entry.path;
    });
    if (route == Routes.end() || request.method != "POST") {
        fail(*reply, 404, GrpcNotFound, "no such path");
        return;
    }
    const std::optional<QJsonObject> body = request.json();
    if (!body) {
        fail(*reply, 400, GrpcInvalidArgument, "the body is not a JSON object");
        return;
    }
    if (!(route->writes ? m_writeLimit : m_readLimit).admit(monotonicNow())) {
        ++m_refused;
        fail(*reply, 429, GrpcResourceExhausted, "too many requests");
        return;
    }
    ++(route->writes ? m_writes : m_reads);
    if (route->method == nullptr) {
        watch(*body, reply);
        return;
    }
    (this->*route->method)(*body, *reply);
    deliverChanges();
}

Result<QJsonObject> KeyValueServer::executeOwn(const QJsonObject &command)
{
    if (command.contains("drop_watch_events")) {
        for (Watch &watch : m_watches) {
            watch.eventsToDrop += command["drop_watch_events"].toInt();
        }
        return QJsonObject {{"watches", static_cast<qint64>(m_watches.size())}};
    }
    if (command["lapse_leases"].toBool()) {
        const auto count = static_cast<qint64>(m_model.lapseLeases());
        deliverChanges();
        return QJsonObject {{"leases", count}};
    }
    if (command["end_watches"].toBool()) {
        const auto count = static_cast<qint64>(m_watches.size());
        for (const Watch &watch : std::exchange(m_watches, {})) {
            watch.reply->abort();
        }
        return QJsonObject {{"watches", count}};
    }
    return StandinServer::executeOwn(command);
}

QJsonObject KeyValueServer::status() const
{
    return {{"revision", static_cast<qint64>(m_model.revision())},
            {"reads", m_reads},
            {"writes", m_writes},
            {"refused", m_refused},
            {"watches", static_cast<qint64>(m_watches.size())}};
}

QJsonObject KeyValueServer::header() const
{
    return {
        {"cluster_id", "1"}, {"member_id", "1"}, {"revision", QString::number(m_model.revision())}, {"raft_term", "1"}};
}

QJsonObject KeyValueServer::rangeResult(const QJsonObject &body) const
{
    const std::vector<KeyValueRecord> records =
        m_model.range(etcdjson::bytesField(body, "key"), etcdjson::bytesField(body, "range_end"));
    const std::int64_t limit = etcdjson::integerField(body, "limit");
    QJsonArray list;
    for (const KeyValueRecord &record : records) {
        if (limit > 0 && list.size() == limit) {
            break;
        }
        list.append(etcdjson::toJson(record));
    }
    QJsonObject result {{"header", header()}, {"count", QString::number(records.size())}};
    if (!list.isEmpty()) {
        result["kvs"] = list;
    }
    if (static_cast<std::size_t>(list.size()) < records.size()) {
        result["more"] = true;
    }
    return result;
}

void KeyValueServer::range(const QJsonObject &body, StandinReply &reply)
{
    reply.sendJson(200, rangeResult(body));
}

void KeyValueServer::put(const QJsonObject &body, StandinReply &reply)
{
    if (write({etcdjson::parsePut(body)}, reply)) {
        reply.sendJson(200, {{"header", header()}});
    }
}

void KeyValueServer::deleteRange(const QJsonObject &body, StandinReply &reply)
{
    const KeyValueWrite deletion = etcdjson::parseDeletion(body);
    const std::size_t count = m_model.range(deletion.key, deletion.rangeEnd).size();
    if (write({deletion}, reply)) {
        reply.sendJson(200, {{"header", header()}, {"deleted", QString::number(count)}});
    }
}

void KeyValueServer::transaction(const QJsonObject &body, StandinReply &reply)
{
    bool succeeded = true;
    for (const auto &value : body["compare"].toArray()) {
        const Result<KeyValueCompare> compare = etcdjson::parseCompare(value.toObject());
        if (const Error *error = errorOf(compare)) {
            fail(reply, 400, GrpcInvalidArgument, error->message);
            return;
        }
        succeeded = succeeded && m_model.holds(std::get<KeyValueCompare>(compare));
    }
    const QJsonArray operations = body[succeeded ? "success" : "failure"].toArray();
    std::vector<KeyValueWrite> writes;
    for (const auto &value : operations) {
        const QJsonValue putRequest = etcdjson::field(value.toObject(), "request_put");
        const QJsonValue deletion = etcdjson::field(value.toObject(), "request_delete_range");
        if (putRequest.isObject()) {
            writes.push_back(etcdjson::parsePut(putRequest.toObject()));
        } else if (deletion.isObject()) {
            writes.push_back(etcdjson::parseDeletion(deletion.toObject()));
        }
    }
    if (!write(writes, reply)) {
        return;
    }
    QJsonArray responses;
    for (const auto &value : operations) {
        const QJsonValue rangeRequest = etcdjson::field(value.toObject(), "request_range");
        if (rangeRequest.isObject()) {
            responses.append(QJsonObject {{"response_range", rangeResult(rangeRequest.toObject())}});
        } else if (etcdjson::field(value.toObject(), "request_put").isObject()) {
            responses.append(QJsonObject {{"response_put", QJsonObject {{"header", header()}}}});
        } else {
            responses.append(QJsonObject {{"response_delete_range", QJsonObject {{"header", header()}}}});
        }
    }
    QJsonObject result {{"header", header()}, {"responses", responses}};
    if (succeeded) {
        result["succeeded"] = true;
    }
    reply.sendJson(200, result);
}

void KeyValueServer::leaseGrant(const QJsonObject &body, StandinReply &reply)
{
    const std::int64_t seconds = etcdjson::integerField(body, "TTL");
    if (seconds <= 0) {
        fail(reply, 400, GrpcInvalidArgument, "TTL: must be positive");
        return;
    }
    const std::int64_t id =
        m_model.grantLease(etcdjson::integerField(body, "ID"), std::chrono::seconds(seconds), monotonicNow());
    reply.sendJson(200, {{"header", header()}, {"ID", QString::number(id)}, {"TTL", QString::number(seconds)}});
}

void KeyValueServer::leaseKeepAlive(const QJsonObject &body, StandinReply &reply)
{
    const std::int64_t id = etcdjson::integerField(body, "ID");
    const Duration timeToLive = m_model.keepLeaseAlive(id, monotonicNow());
    QJsonObject result {{"header", header()}, {"ID", QString::number(id)}};
    if (timeToLive > Duration::zero()) {
        result["TTL"] = QString::number(std::chrono::duration_cast<std::chrono::seconds>(timeToLive).count());
    }
    reply.send(200, "application/json", streamLine(result));
}

void KeyValueServer::leaseRevoke(const QJsonObject &body, StandinReply &reply)
{
    if (!m_model.revokeLease(etcdjson::integerField(body, "ID"))) {
        fail(reply, 404, GrpcNotFound, "requested lease not found");
        return;
    }
    reply.sendJson(200, {{"header", header()}});
}

void KeyValueServer::watch(const QJsonObject &body, const StandinReplyPointer &reply)
{
    const QJsonObject request = etcdjson::field(body, "create_request").toObject();
    Watch watch;
    watch.reply = reply;
    watch.key = etcdjson::bytesField(request, "key");
    watch.rangeEnd = etcdjson::bytesField(request, "range_end");
    const std::int64_t start = etcdjson::integerField(request, "start_revision");
    watch.nextRevision = start > 0 ? start : m_model.revision() + 1;
    reply->beginStream("application/json");
    if (watch.nextRevision < m_model.firstRevision()) {
        reply->writeChunk(streamLine({{"header", header()},
                                      {"created", true},
                                      {"canceled", true},
                                      {"compact_revision", QString::number(m_model.firstRevision())}}));
        reply->endStream();
        return;
    }
    reply->writeChunk(streamLine({{"header", header()}, {"created", true}}));
    m_watches.push_back(watch);
    deliverChanges(m_watches.back());
}

bool KeyValueServer::write(const std::vector<KeyValueWrite> &writes, StandinReply &reply)
{
    for (const KeyValueWrite &write : writes) {
        if (write.value.size() > m_settings.maxValueBytes) {
            fail(reply, 400, GrpcInvalidArgument, "request is too large");
            return false;
        }
    }
    const Result<Success> result = m_model.apply(writes);
    if (const Error *error = errorOf(result)) {
        fail(reply, 404, GrpcNotFound, error->message);
        return false;
    }
    return true;
}

void KeyValueServer::deliverChanges()
{
    std::erase_if(m_watches, [](const Watch &watch) {
        return !watch.reply->isOpen();
    });
    for (Watch &watch : m_watches) {
        deliverChanges(watch);
    }
}

void KeyValueServer::deliverChanges(Watch &watch)
{
    if (watch.nextRevision > m_model.revision()) {
        return;
    }
    QJsonArray events;
    for (const KeyValueChange &change : m_model.changes(watch.key, watch.rangeEnd, watch.nextRevision)) {
        if (watch.eventsToDrop > 0) {
            --watch.eventsToDrop;
        } else {
            events.append(etcdjson::toJson(change));
        }
    }
    watch.nextRevision = m_model.revision() + 1;
    if (!events.isEmpty()) {
        watch.reply->writeChunk(streamLine({{"header", header()}, {"events", events}}));
    }
}

} // namespace ibismast
