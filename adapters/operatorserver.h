#pragma once

#include "adapters/operatorconnection.h"
#include "adapters/outgoingcall.h"

#include <QtNetwork/QSslConfiguration>
#include <QtNetwork/QTcpServer>

#include <memory>
#include <set>

class QSslCertificate;

namespace ibismast
{

class SettingsFile;

/// Settings of an `OperatorServer`.
struct OperatorServerSettings
{
    HttpEndpoint listen;
    /// Encrypts the connections and verifies the clients' certificates. Without it only loopback addresses are allowed.
    std::optional<QSslConfiguration> tls;
    /// Sender of the calls on connections without TLS.
    OperatorIdentity plainIdentity {"local", OperatorRole::Viewer};
    OperatorConnectionSettings connection;
    /// Further connections are closed at once.
    std::size_t maxConnections = 64;
};

/// Reads the section `[operators]`; nothing if it names no address.
[[nodiscard]] std::optional<OperatorServerSettings> readOperators(SettingsFile &file);

/// Returns the operator that a client certificate names: its only common name, with the role that its only
/// organisational unit names. Nothing if it has another form.
[[nodiscard]] std::optional<OperatorIdentity> operatorOf(const QSslCertificate &certificate);

/// Serves the operators' calls of wire/operator.thrift: framed, with the compact protocol.
class OperatorServer : public QObject
{
public:
    /// @p driver must outlive the server.
    OperatorServer(OperatorServerSettings settings, OperatorDriver &driver);
    ~OperatorServer() override;

    /// Listens; @p port 0 lets the system choose. Fails with `SettingsInvalid`.
    [[nodiscard]] Result<Success> listen(quint16 port);
    [[nodiscard]] quint16 port() const;

private:
    class Listener;

    void accept(qintptr handle);

    OperatorServerSettings m_settings;
    OperatorDriver &m_driver;
    std::unique_ptr<Listener> m_listener;
    std::set<OperatorConnection *> m_connections;
};

} // namespace ibismast
