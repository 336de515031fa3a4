#include "adapters/instancelistclient.h"

#include "adapters/httpendpoint.h"
#include "adapters/plumbing/logging.h"

#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QNetworkReply>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace ibismast
{

namespace
{

namespace json = boost::json;

Error malformed(const std::string &what)
{
    return {ResultCode::ProtocolError, "the instance list is malformed: " + what, std::nullopt};
}

std::string text(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

Result<PeerSummary> parseInstance(const json::value &value)
{
    if (!value.is_object()) {
        return malformed("an element is no object");
    }
    const json::object &object = value.as_object();
    PeerSummary summary;
    summary.instance = InstanceId(text(object, "id"));
    summary.domain = FailureDomain(text(object, "domain"));
    summary.address = text(object, "address");
    const std::string role = text(object, "role");
    const std::string state = text(object, "state");
    if (summary.instance.empty()) {
        return malformed("an element has no id");
    }
    if (!parseEndpoint(summary.address)) {
        return malformed("instance " + summary.instance.value() + " has the address \"" + summary.address + '"');
    }
    if ((role != "entry" && role != "agent") || (state != "live" && state != "leaving")) {
        return malformed("instance " + summary.instance.value() + " has the role \"" + role + "\" and the state \""
                         + state + '"');
    }
    summary.role = role == "entry" ? InstanceRole::Entry : InstanceRole::Agent;
    summary.state = state == "live" ? InstanceState::Ready : InstanceState::Leaving;
    return summary;
}

} // namespace

Result<std::vector<PeerSummary>> parseInstanceList(std::string_view body)
{
    json::error_code code;
    const json::value value = json::parse(json::string_view(body.data(), body.size()), code);
    const json::value *list = !code && value.is_object() ? value.as_object().if_contains("instances") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return malformed("there is no array \"instances\"");
    }
    std::vector<PeerSummary> instances;
    for (const json::value &element : list->as_array()) {
        Result<PeerSummary> instance = parseInstance(element);
        if (const Error *error = errorOf(instance)) {
            return *error;
        }
        instances.push_back(std::get<PeerSummary>(std::move(instance)));
    }
    return instances;
}

InstanceListClient::InstanceListClient(const InstanceListClientSettings &settings, Handler handler)
    : m_settings(settings), m_handler(std::move(handler))
{
    m_manager.setProxy(QNetworkProxy::NoProxy);
    connect(&m_timer, &QTimer::timeout, this, &InstanceListClient::read);
}

void InstanceListClient::start()
{
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.interval));
    read();
}

void InstanceListClient::stop()
{
    m_timer.stop();
}

void InstanceListClient::read()
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    QNetworkRequest request(m_settings.url);
    request.setTransferTimeout(
        static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(m_settings.timeout).count()));
    QNetworkReply *reply = m_manager.get(request);
    connect(reply, &QNetworkReply::finished, this, [this, reply] {
        m_reading = false;
        reply->deleteLater();
        Result<std::vector<PeerSummary>> instances = Error {ResultCode::NotReady, {}, std::nullopt};
        if (reply->error() != QNetworkReply::NoError) {
            instances = Error {ResultCode::NotReady, reply->errorString().toStdString(), std::nullopt};
        } else {
            const QByteArray body = reply->readAll();
            instances = parseInstanceList({body.constData(), static_cast<std::size_t>(body.size())});
        }
        const Error *error = errorOf(instances);
        if (error != nullptr && !m_failing) {
            logEvent(spdlog::level::warn, "instance_list_unavailable", {{"reason", error->message}});
        }
        m_failing = error != nullptr;
        if (error == nullptr && m_timer.isActive()) {
            m_handler(std::get<std::vector<PeerSummary>>(instances));
        }
    });
}

} // namespace ibismast
