#include "adapters/operatorserver.h"

#include "adapters/plumbing/settingsfile.h"
#include "adapters/tlssettings.h"

#include <QtNetwork/QSslCertificate>
#include <QtNetwork/QSslSocket>

namespace ibismast
{

/// Hands accepted descriptors to the server, which chooses the kind of socket.
class OperatorServer::Listener : public QTcpServer
{
public:
    explicit Listener(OperatorServer &owner) : m_owner(owner) { }

protected:
    void incomingConnection(qintptr handle) override
    {
        m_owner.accept(handle);
    }

private:
    OperatorServer &m_owner;
};

std::optional<OperatorServerSettings> readOperators(SettingsFile &file)
{
    if (!file.has("operators", "listen")) {
        return std::nullopt;
    }
    OperatorServerSettings settings;
    settings.listen = readEndpoint(file, "operators", "listen", std::nullopt);
    settings.tls = readTls(file, "operators");
    if (settings.tls) {
        if (settings.tls->peerVerifyMode() != QSslSocket::VerifyPeer) {
            file.refuse("operators", "tls_authority", {}, "set, because the client certificate names the operator");
        }
        return settings;
    }
    settings.plainIdentity.name = file.text("operators", "plain_name", settings.plainIdentity.name);
    const std::string role = file.text("operators", "plain_role", std::string(toString(settings.plainIdentity.role)));
    if (const std::optional<OperatorRole> parsed = parseOperatorRole(role)) {
        settings.plainIdentity.role = *parsed;
    } else {
        file.refuse("operators", "plain_role", role, "viewer, editor or admin");
    }
    if (!settings.listen.address.isLoopback()) {
        file.refuse(
            "operators", "listen", settings.listen.address.toString().toStdString(), "a loopback address without TLS");
    }
    return settings;
}

std::optional<OperatorIdentity> operatorOf(const QSslCertificate &certificate)
{
    const QStringList names = certificate.subjectInfo(QSslCertificate::CommonName);
    const QStringList units = certificate.subjectInfo(QSslCertificate::OrganizationalUnitName);
    if (names.size() != 1 || names.front().isEmpty() || units.size() != 1) {
        return std::nullopt;
    }
    const std::optional<OperatorRole> role = parseOperatorRole(units.front().toStdString());
    return role ? std::optional(OperatorIdentity {names.front().toStdString(), *role}) : std::nullopt;
}

OperatorServer::OperatorServer(OperatorServerSettings settings, OperatorDriver &driver)
    : m_settings(std::move(settings)), m_driver(driver), m_listener(std::make_unique<Listener>(*this))
{
}

OperatorServer::~OperatorServer()
{
    for (OperatorConnection *connection : std::exchange(m_connections, {})) {
        delete connection;
    }
}

Result<Success> OperatorServer::listen(quint16 port)
{
    const QHostAddress &address = m_settings.listen.address;
    if (!m_settings.tls && !address.isLoopback()) {
        return Error {
            ResultCode::SettingsInvalid, "without TLS operators are served on loopback addresses only", std::nullopt};
    }
    if (!m_listener->listen(address, port)) {
        return Error {ResultCode::SettingsInvalid,
                      "cannot listen on " + address.toString().toStdString() + ':' + std::to_string(port) + ": "
                          + m_listener->errorString().toStdString(),
                      std::nullopt};
    }
    return Success {};
}

quint16 OperatorServer::port() const
{
    return m_listener->serverPort();
}

void OperatorServer::accept(qintptr handle)
{
    auto *encrypted = m_settings.tls ? new QSslSocket : nullptr;
    auto socket = std::unique_ptr<QTcpSocket>(encrypted != nullptr ? encrypted : new QTcpSocket);
    if (!socket->setSocketDescriptor(handle) || m_connections.size() >= m_settings.maxConnections) {
        return;
    }
    std::function<std::optional<OperatorIdentity>()> identity = [this] {
        return std::optional(m_settings.plainIdentity);
    };
    if (encrypted != nullptr) {
        encrypted->setSslConfiguration(*m_settings.tls);
        encrypted->startServerEncryption();
        identity = [encrypted]() -> std::optional<OperatorIdentity> {
            return encrypted->isEncrypted() ? operatorOf(encrypted->peerCertificate()) : std::nullopt;
        };
    }
    auto slot = std::make_shared<OperatorConnection *>(nullptr);
    *slot =
        new OperatorConnection(socket.release(), m_settings.connection, m_driver, std::move(identity), [this, slot] {
            m_connections.erase(*slot);
            (*slot)->deleteLater();
        });
    m_connections.insert(*slot);
}

} // namespace ibismast
