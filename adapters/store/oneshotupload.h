#pragma once

#include <QByteArray>
#include <QIODevice>

class QNetworkAccessManager;
class QNetworkReply;
class QNetworkRequest;

namespace ibismast
{

/// Request body that can be sent only once.
///
/// QNetworkAccessManager sends a request again, POST included, if the connection closes before the answer. A call that
/// must not be repeated could then run twice. With this body the second sending fails with `ContentReSendError`.
class OneShotUpload : public QIODevice
{
public:
    explicit OneShotUpload(QByteArray data, QObject *parent = nullptr);

    [[nodiscard]] bool isSequential() const override;
    [[nodiscard]] bool atEnd() const override;
    [[nodiscard]] qint64 bytesAvailable() const override;
    bool reset() override;
    /// Returns true once any byte was handed out for sending.
    [[nodiscard]] bool started() const;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 maxSize) override;

private:
    QByteArray m_data;
    qint64 m_position = 0;
};

/// Starts @p method on @p request with @p body so that it is sent at most once. The reply owns the body.
/// An empty body is sent as one space, which JSON ignores, since a request without a body would be sent again.
QNetworkReply *
sendOnce(QNetworkAccessManager &manager, QNetworkRequest request, const QByteArray &method, const QByteArray &body);

} // namespace ibismast
