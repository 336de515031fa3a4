#include "adapters/store/etcdgatewayclient.h"

#include "adapters/store/etcdmessages.h"
#include "adapters/store/oneshotupload.h"

#include <QJsonDocument>
#include <QNetworkReply>

namespace ibismast
{

EtcdGatewayClient::EtcdGatewayClient(EtcdGatewayClientSettings settings, std::uint64_t seed, AnswerHandler handler)
    : m_settings(std::move(settings)), m_random(seed), m_handler(std::move(handler))
{
}

EtcdGatewayClient::~EtcdGatewayClient()
{
    for (auto &[id, call] : m_calls) {
        call.reply->disconnect(this);
        call.reply->abort();
    }
}

void EtcdGatewayClient::execute(const StoreCall &call)
{
    if (const auto *watch = std::get_if<StoreWatch>(&call.operation)) {
        startWatch(call.id, *watch);
    } else if (const auto *cancel = std::get_if<StoreWatchCancel>(&call.operation)) {
        if (const auto found = m_watches.extract(cancel->watch); !found.empty()) {
            // Later, since the cancel may come from within the watch's handler.
            found.mapped().release()->deleteLater();
        }
    } else {
        startCall(call);
    }
}

std::size_t EtcdGatewayClient::openCalls() const
{
    return m_calls.size();
}

void EtcdGatewayClient::startWatch(StoreCallId id, const StoreWatch &watch)
{
    auto handler = [this, id](const StoreWatchEvents &events) {
        if (!m_watches.contains(id)) {
            return;
        }
        if (events.ended) {
            m_watches.extract(id).mapped().release()->deleteLater();
        }
        m_handler({id, events});
    };
    auto &entry = m_watches[id];
    entry = std::make_unique<EtcdWatch>(m_settings.watch, m_settings.gateway, watch, m_random.next(), handler);
    entry->start();
}

void EtcdGatewayClient::startCall(const StoreCall &call)
{
    const etcd::GatewayRequest gatewayRequest = etcd::toRequest(call.operation);
    QUrl url = m_settings.gateway;
    url.setPath(QString::fromLatin1(gatewayRequest.path));
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    const QByteArray body = QJsonDocument(gatewayRequest.body).toJson(QJsonDocument::Compact);
    QNetworkReply *reply = sendOnce(m_manager, request, "POST", body);
    m_calls[call.id] = {call.operation, reply, false};
    connect(reply, &QNetworkReply::finished, this, [this, id = call.id] {
        callEnded(id);
    });
    auto *timer = new QTimer(reply);
    timer->setSingleShot(true);
    timer->callOnTimeout(this, [this, id = call.id, reply] {
        m_calls.at(id).timedOut = true;
        reply->abort();
    });
    timer->start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.callTimeout));
}

void EtcdGatewayClient::callEnded(StoreCallId id)
{
    const auto call = m_calls.extract(id);
    call.mapped().reply->deleteLater();
    m_handler({id, outcomeOf(call.mapped())});
}

StoreOutcome EtcdGatewayClient::outcomeOf(const OpenCall &call) const
{
    const int status = call.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (call.reply->error() == QNetworkReply::NoError && status == 200) {
        const QJsonObject answer = QJsonDocument::fromJson(call.reply->readAll()).object();
        if (std::optional<StoreOutcome> outcome = etcd::parseAnswer(call.operation, answer)) {
            return *outcome;
        }
        return StoreFailure {"the store's answer could not be parsed", !etcd::readsOnly(call.operation)};
    }
    // An answer that was cut off has a status but an error of the connection as well.
    const bool refused = status >= 400 && etcd::provesNoEffect(status);
    const bool sent = call.reply->findChild<OneShotUpload *>()->started();
    StoreFailure failure;
    failure.message = call.timedOut ? "the store did not answer in time" : call.reply->errorString().toStdString();
    failure.mayHaveTakenEffect = sent && !refused && !etcd::readsOnly(call.operation);
    return failure;
}

} // namespace ibismast
