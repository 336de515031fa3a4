#include "adapters/tls.h"
#include "adapters/guardserver.h"
#include "adapters/peerlink.h"
#include "adapters/peerserver.h"
#include "qttest.h"

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>

using namespace ibismast;

namespace
{

/// Certificate authorities and certificates in a temporary folder, made by the openssl program.
class Certificates : NeedsEventLoop
{
public:
    Certificates()
    {
        REQUIRE(m_folder.isValid());
        makeAuthority("authority");
        makeAuthority("stranger");
        makeCertificate("agent-1", "authority");
        makeCertificate("entry-1", "authority");
        makeCertificate("intruder", "stranger");
    }
    [[nodiscard]] std::string path(const std::string &file) const
    {
        return m_folder.filePath(QString::fromStdString(file)).toStdString();
    }
    [[nodiscard]] QSslConfiguration configuration(const std::string &name, const std::string &authority) const
    {
        const auto result = loadTls({path(name + ".pem"), path(name + ".key"), path(authority + ".pem")});
        REQUIRE(errorOf(result) == nullptr);
        return std::get<QSslConfiguration>(result);
    }

private:
    void run(const QString &arguments) const
    {
        QProcess process;
        process.setWorkingDirectory(m_folder.path());
        process.start("openssl", arguments.split(' '));
        REQUIRE(process.waitForFinished());
        REQUIRE(process.exitCode() == 0);
    }
    void makeAuthority(const QString &name) const
    {
        run("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=" + name + " -keyout "
            + name + ".key -out " + name + ".pem");
    }
    void makeCertificate(const QString &name, const QString &authority) const
    {
        run("req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=" + name
            + " -addext subjectAltName=DNS:" + name + " -keyout " + name + ".key -out " + name + ".csr");
        run("x509 -req -days 2 -copy_extensions copy -CAcreateserial -in " + name + ".csr -CA " + authority
            + ".pem -CAkey " + authority + ".key -out " + name + ".pem");
    }

    QTemporaryDir m_folder;
};

} // namespace

// Guards against a peer without a certificate of the fleet, or under another instance's name, being accepted.
TEST_CASE("peers verify each other", "[adapters]")
{
    struct Side
    {
        std::string certificate;
        std::string authority;
        std::string expectedName;
        bool accepted;
    };
    const auto side = GENERATE(Side {"entry-1", "authority", "agent-1", true},
                               Side {"intruder", "authority", "agent-1", false},
                               Side {"entry-1", "stranger", "agent-1", false},
                               Side {"entry-1", "authority", "agent-2", false});
    const Certificates certificates;
    PeerServer server {PeerConnectionSettings()};
    server.setTls(certificates.configuration("agent-1", "authority"));
    const auto listening = server.listen(QHostAddress(QHostAddress::LocalHost), 0);
    REQUIRE(errorOf(listening) == nullptr);
    bool received = false;
    QObject::connect(&server, &PeerServer::frameReceived, &server, [&received](const PeerFrame &) {
        received = true;
    });

    const PeerFrame frame {InstanceId("entry-1"), Incarnation(1), Revision(0), IssueOperations {1, 1}};
    PeerLinkSettings settings;
    settings.backoff = std::chrono::milliseconds(1);
    settings.maxBackoff = std::chrono::milliseconds(1);
    PeerLink link(InstanceId("agent-1"), settings, 1);
    int attempts = 0;
    QObject::connect(&link, &PeerLink::connected, &link, [&link, &frame] {
        (void)link.send(frame);
    });
    QObject::connect(&link, &PeerLink::failed, &link, [&attempts] {
        ++attempts;
    });
    QObject::connect(&link, &PeerLink::disconnected, &link, [&attempts] {
        ++attempts;
    });
    link.setTls(certificates.configuration(side.certificate, side.authority),
                QString::fromStdString(side.expectedName));
    link.open(QHostAddress(QHostAddress::LocalHost), server.port());
    REQUIRE(runUntil([&] {
        return received || attempts >= 3;
    }));
    CHECK(received == side.accepted);
}

// Guards against callers' requests that are read without encryption or not at all.
TEST_CASE("the guard serves encrypted connections", "[adapters]")
{
    const Certificates certificates;
    GuardServer server(HttpGuardSettings(), [] {
        return TimePoint();
    });
    const auto tls = loadTls({certificates.path("agent-1.pem"), certificates.path("agent-1.key"), {}});
    REQUIRE(errorOf(tls) == nullptr);
    server.setTls(std::get<QSslConfiguration>(tls));
    REQUIRE(server.listen(QHostAddress(QHostAddress::LocalHost), 0));
    QSslSocket client;
    QSslConfiguration clientTls = QSslConfiguration::defaultConfiguration();
    clientTls.setCaCertificates(QSslCertificate::fromPath(QString::fromStdString(certificates.path("authority.pem"))));
    client.setSslConfiguration(clientTls);
    std::string received;
    QObject::connect(&client, &QSslSocket::readyRead, &client, [&] {
        received += client.readAll().toStdString();
    });
    client.setPeerVerifyName("agent-1");
    client.connectToHostEncrypted("127.0.0.1", server.serverPort(), "agent-1");
    REQUIRE(runUntil([&client] {
        return client.isEncrypted();
    }));
    client.write("GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n");
    CHECK(runUntil([&received] {
        return received.find("\"code\": 1001") != std::string::npos;
    }));
    RawClient plain(server.serverPort());
    plain.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(plain.waitForClose());
    CHECK(plain.received().find("HTTP") == std::string::npos);
}

// Guards against a daemon that starts without encryption because a file cannot be used.
TEST_CASE("unusable TLS files are refused with their names", "[adapters]")
{
    const Certificates certificates;
    const std::string good = certificates.path("agent-1.pem");
    const std::string key = certificates.path("agent-1.key");
    const std::vector<std::pair<TlsFiles, std::string>> table {{{key, key, {}}, key},
                                                               {{good, good, {}}, good},
                                                               {{good, "/nowhere", {}}, "/nowhere"},
                                                               {{good, key, "/nothing"}, "/nothing"}};
    // The folder changes with each run of the test, so only the row is generated.
    const auto &[files, name] = table.at(GENERATE(0U, 1U, 2U, 3U));
    const auto result = loadTls(files);
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->message.starts_with(name));
}
