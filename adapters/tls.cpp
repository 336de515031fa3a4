#include "adapters/tls.h"

#include <QtCore/QFile>
#include <QtNetwork/QSslCertificate>
#include <QtNetwork/QSslKey>

namespace ibismast
{

namespace
{

Error invalid(const std::string &path, const std::string &reason)
{
    return {ResultCode::SettingsInvalid, path + ": " + reason, std::nullopt};
}

} // namespace

Result<QSslConfiguration> loadTls(const TlsFiles &files)
{
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setProtocol(QSsl::TlsV1_2OrLater);
    const QList<QSslCertificate> chain = QSslCertificate::fromPath(QString::fromStdString(files.certificate));
    if (chain.isEmpty()) {
        return invalid(files.certificate, "the file holds no certificate in PEM form");
    }
    configuration.setLocalCertificateChain(chain);
    QFile keyFile(QString::fromStdString(files.key));
    if (!keyFile.open(QIODevice::ReadOnly)) {
        return invalid(files.key, "the file cannot be read");
    }
    const QByteArray keyText = keyFile.readAll();
    QSslKey key(keyText, QSsl::Rsa);
    if (key.isNull()) {
        key = QSslKey(keyText, QSsl::Ec);
    }
    if (key.isNull()) {
        return invalid(files.key, "the file holds no RSA or EC key in PEM form");
    }
    configuration.setPrivateKey(key);
    if (files.authority.empty()) {
        configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
        return configuration;
    }
    const QList<QSslCertificate> authorities = QSslCertificate::fromPath(QString::fromStdString(files.authority));
    if (authorities.isEmpty()) {
        return invalid(files.authority, "the file holds no certificate in PEM form");
    }
    configuration.setCaCertificates(authorities);
    configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
    return configuration;
}

} // namespace ibismast
