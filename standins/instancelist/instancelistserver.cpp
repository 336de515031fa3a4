#include "standins/instancelist/instancelistserver.h"

#include <QTimer>

namespace ibismast
{

namespace
{

Error invalid(const std::string &message)
{
    return {ResultCode::InvalidArgument, message, std::nullopt};
}

/// Returns the reason why @p instance is not a valid entry of the list, empty if it is one.
std::string validate(const QJsonObject &instance)
{
    if (instance["id"].toString().isEmpty()) {
        return "id: must not be empty";
    }
    const QString role = instance["role"].toString();
    if (role != "entry" && role != "agent") {
        return "role: must be entry or agent";
    }
    const QString state = instance["state"].toString("live");
    if (state != "live" && state != "leaving") {
        return "state: must be live or leaving";
    }
    if (instance["address"].toString().isEmpty()) {
        return "address: must not be empty";
    }
    return {};
}

} // namespace

InstanceListServer::InstanceListServer(const InstanceListSettings &settings) : m_settings(settings) { }

void InstanceListServer::handle(const StandinRequest &request, const StandinReplyPointer &reply)
{
    if (request.path != "/instances") {
        reply->sendJson(404, {{"error", "no such path"}});
        return;
    }
    if (request.method != "GET") {
        reply->sendJson(405, {{"error", "the path takes GET only"}});
        return;
    }
    QJsonArray list;
    for (const auto &[id, instance] : m_instances) {
        list.append(instance);
    }
    reply->sendJson(200, {{"instances", list}});
}

Result<QJsonObject> InstanceListServer::executeOwn(const QJsonObject &command)
{
    if (command["set"].isArray()) {
        const QJsonArray instances = command["set"].toArray();
        for (const auto &value : instances) {
            if (const std::string reason = validate(value.toObject()); !reason.empty()) {
                return invalid(reason);
            }
        }
        schedule([this, instances] {
            for (const auto &value : instances) {
                QJsonObject instance = value.toObject();
                instance["state"] = instance["state"].toString("live");
                m_instances[instance["id"].toString()] = instance;
            }
        });
        return QJsonObject {{"ok", true}};
    }
    if (command["remove"].isArray()) {
        const QJsonArray ids = command["remove"].toArray();
        schedule([this, ids] {
            for (const auto &id : ids) {
                m_instances.erase(id.toString());
            }
        });
        return QJsonObject {{"ok", true}};
    }
    if (command.contains("lag_ms")) {
        const qint64 lag = command["lag_ms"].toInteger(-1);
        if (lag < 0) {
            return invalid("lag_ms: must not be negative");
        }
        m_settings.lag = std::chrono::milliseconds(lag);
        return QJsonObject {{"ok", true}};
    }
    return StandinServer::executeOwn(command);
}

QJsonObject InstanceListServer::status() const
{
    return {{"instances", static_cast<qint64>(m_instances.size())}};
}

void InstanceListServer::schedule(std::function<void()> change)
{
    if (m_settings.lag == Duration::zero()) {
        change();
        return;
    }
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.lag), this, std::move(change));
}

} // namespace ibismast
