#include "adapters/store/oneshotupload.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <algorithm>
#include <cstring>

namespace ibismast
{

OneShotUpload::OneShotUpload(QByteArray data, QObject *parent) : QIODevice(parent), m_data(std::move(data))
{
    // Unbuffered, since a read-ahead by QIODevice would make `started` true before the connection exists.
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool OneShotUpload::isSequential() const
{
    return true;
}

bool OneShotUpload::atEnd() const
{
    return m_position == m_data.size();
}

qint64 OneShotUpload::bytesAvailable() const
{
    return m_data.size() - m_position;
}

bool OneShotUpload::reset()
{
    return !started();
}

bool OneShotUpload::started() const
{
    return m_position > 0;
}

qint64 OneShotUpload::readData(char *data, qint64 maxSize)
{
    const qint64 size = std::min<qint64>(maxSize, m_data.size() - m_position);
    std::memcpy(data, m_data.constData() + m_position, static_cast<std::size_t>(size));
    m_position += size;
    return size;
}

qint64 OneShotUpload::writeData([[maybe_unused]] const char *data, [[maybe_unused]] qint64 maxSize)
{
    return -1;
}

QNetworkReply *
sendOnce(QNetworkAccessManager &manager, QNetworkRequest request, const QByteArray &method, const QByteArray &body)
{
    auto *upload = new OneShotUpload(body.isEmpty() ? QByteArray(" ") : body);
    request.setHeader(QNetworkRequest::ContentLengthHeader, upload->bytesAvailable());
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    QNetworkReply *reply = manager.sendCustomRequest(request, method, upload);
    upload->setParent(reply);
    return reply;
}

} // namespace ibismast
