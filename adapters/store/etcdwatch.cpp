#include "adapters/store/etcdwatch.h"

#include "adapters/store/etcdmessages.h"
#include "adapters/store/oneshotupload.h"

#include <QJsonDocument>
#include <QNetworkReply>

namespace ibismast
{

EtcdWatch::EtcdWatch(
    const EtcdWatchSettings &settings, const QUrl &gateway, StoreWatch watch, std::uint64_t seed, EventsHandler handler)
    : m_settings(settings)
    , m_gateway(gateway)
    , m_watch(std::move(watch))
    , m_random(seed)
    , m_handler(std::move(handler))
    , m_pause(settings.retryMin)
{
    m_retryTimer.setSingleShot(true);
    m_retryTimer.callOnTimeout([this] {
        connectStream();
    });
    m_idleTimer.setSingleShot(true);
    m_idleTimer.callOnTimeout([this] {
        closeStream();
        connectStream();
    });
}

EtcdWatch::~EtcdWatch()
{
    closeStream();
}

void EtcdWatch::start()
{
    connectStream();
}

void EtcdWatch::connectStream()
{
    const etcd::GatewayRequest call = etcd::toRequest(m_watch);
    QUrl url = m_gateway;
    url.setPath(QString::fromLatin1(call.path));
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    m_buffer.clear();
    m_stream = sendOnce(m_manager, request, "POST", QJsonDocument(call.body).toJson(QJsonDocument::Compact));
    connect(m_stream, &QNetworkReply::readyRead, this, &EtcdWatch::read);
    connect(m_stream, &QNetworkReply::finished, this, &EtcdWatch::streamEnded);
    m_idleTimer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.idleLimit));
}

void EtcdWatch::closeStream()
{
    m_idleTimer.stop();
    if (m_stream != nullptr) {
        m_stream->disconnect(this);
        m_stream->abort();
        m_stream->deleteLater();
        m_stream = nullptr;
    }
}

void EtcdWatch::read()
{
    m_buffer += m_stream->readAll();
    qsizetype end = 0;
    while (!m_ended && (end = m_buffer.indexOf('\n')) >= 0) {
        const QByteArray line = m_buffer.left(end);
        m_buffer.remove(0, end + 1);
        handleLine(line);
    }
}

void EtcdWatch::handleLine(const QByteArray &line)
{
    const QJsonObject object = QJsonDocument::fromJson(line).object();
    const std::optional<etcd::WatchMessage> message = etcd::parseWatchMessage(object["result"].toObject());
    if (!message) {
        return;
    }
    m_pause = m_settings.retryMin;
    m_idleTimer.start();
    if (message->canceled) {
        m_ended = true;
        closeStream();
        m_handler({{}, {}, message->storeRevision, true});
        return;
    }
    if (message->created && m_watch.fromRevision == StoreRevision()) {
        // A watch from now on has to continue from here even if the connection breaks before the first change.
        m_watch.fromRevision = message->storeRevision + StoreRevision(1);
    }
    if (message->lastChange >= m_watch.fromRevision && message->lastChange > StoreRevision()) {
        m_watch.fromRevision = message->lastChange + StoreRevision(1);
        m_handler({message->puts, message->deletes, message->lastChange, false});
    }
}

void EtcdWatch::streamEnded()
{
    if (m_stream->bytesAvailable() > 0) {
        read();
    }
    closeStream();
    if (m_ended) {
        return;
    }
    const double jitter = 0.5 + 0.5 * m_random.uniform();
    m_retryTimer.start(std::chrono::ceil<std::chrono::milliseconds>(m_pause * jitter));
    m_pause = std::min(m_pause * 2, m_settings.retryMax);
}

} // namespace ibismast
