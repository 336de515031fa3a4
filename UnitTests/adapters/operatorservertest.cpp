#include "UnitTests/adapters/fleetfixture.h"

#include <Operator.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>
#include <QtCore/QtEndian>
#include <QtNetwork/QSslKey>
#include <QtNetwork/QSslSocket>

using namespace ibismast;
namespace wo = wire::operators;

namespace
{

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

const std::string Model = "[model small]\nversion = 1\ncopies_per_domain = 1\nmemory_tokens = 1000\n";

/// The generated client, joined with the entry by a socket of the event loop.
class WireOperator
{
public:
    explicit WireOperator(quint16 port, const std::optional<QSslConfiguration> &tls = std::nullopt)
    {
        // Qt ends a handshake on errors of the certificate; the tests look at the end of the connection only.
        if (tls) {
            m_socket.setSslConfiguration(*tls);
            m_socket.setPeerVerifyName("entry-1");
            m_socket.connectToHostEncrypted("127.0.0.1", port);
        } else {
            m_socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
        }
    }
    template<typename Send> void start(Send send)
    {
        send(m_client);
        const std::string message = m_output->getBufferAsString();
        m_output->resetBuffer();
        sendFrame(message);
    }
    void sendFrame(const std::string &message)
    {
        std::string length(sizeof(quint32), '\0');
        qToBigEndian(static_cast<quint32>(message.size()), length.data());
        sendBytes(length + message);
    }
    void sendBytes(const std::string &bytes)
    {
        REQUIRE(runUntil([this] {
            return m_socket.state() == QAbstractSocket::ConnectedState && m_socket.mode() != QSslSocket::SslClientMode
                ? true
                : m_socket.isEncrypted() || m_socket.state() == QAbstractSocket::UnconnectedState;
        }));
        m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    /// Returns true if an answer has arrived, false if the connection has ended.
    [[nodiscard]] bool waitForAnswer()
    {
        REQUIRE(runUntil([this] {
            return complete() || m_socket.state() == QAbstractSocket::UnconnectedState;
        }));
        return complete();
    }
    template<typename Reply, typename Receive> [[nodiscard]] Reply finish(Receive receive)
    {
        REQUIRE(waitForAnswer());
        const std::string message = m_received.substr(sizeof(quint32));
        m_received.clear();
        m_input->resetBuffer();
        m_input->write(reinterpret_cast<const std::uint8_t *>(message.data()),
                       static_cast<std::uint32_t>(message.size()));
        Reply reply;
        receive(m_client, reply);
        return reply;
    }
    [[nodiscard]] wo::PlanReply plan(const std::string &text)
    {
        start([&text](wo::OperatorClient &client) {
            client.send_plan({{"fleet.ini", text}}, false);
        });
        return finish<wo::PlanReply>([](wo::OperatorClient &client, wo::PlanReply &reply) {
            client.recv_plan(reply);
        });
    }
    void startApply(const wo::PlanReply &plan, const std::string &changeId)
    {
        std::map<std::string, wo::ObjectEdit> edits;
        for (const wo::Edit &edit : plan.edits) {
            edits[edit.object].__set_values(edit.after);
        }
        start([&](wo::OperatorClient &client) {
            client.send_apply(changeId, "test", edits, plan.expected);
        });
    }
    [[nodiscard]] wo::ChangeReply finishApply()
    {
        return finish<wo::ChangeReply>([](wo::OperatorClient &client, wo::ChangeReply &reply) {
            client.recv_apply(reply);
        });
    }

private:
    [[nodiscard]] bool complete()
    {
        m_received += m_socket.readAll().toStdString();
        return m_received.size() >= sizeof(quint32)
            && m_received.size() == sizeof(quint32) + qFromBigEndian<quint32>(m_received.data());
    }

    QSslSocket m_socket;
    std::string m_received;
    std::shared_ptr<TMemoryBuffer> m_input = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> m_output = std::make_shared<TMemoryBuffer>();
    wo::OperatorClient m_client {std::make_shared<TCompactProtocol>(m_input),
                                 std::make_shared<TCompactProtocol>(m_output)};
};

/// Entries that serve operators; `more` is added to the section `[operators]`.
struct ServingFleet : FleetFixture
{
    explicit ServingFleet(const std::string &more = "plain_role = admin\n") : agent(startAgent("agent-1"))
    {
        const std::string agents = "agent-1@" + address(agent->peerPort());
        for (const char *id : {"entry-1", "entry-2"}) {
            entries.push_back(startEntry(id, agents, "[operators]\nlisten = 127.0.0.1:0\n" + more));
        }
        REQUIRE(runUntil([this] {
            return entries[0]->config().ready() && entries[1]->config().ready();
        }));
    }

    std::unique_ptr<AgentDaemon> agent;
    std::vector<std::unique_ptr<EntryDaemon>> entries;
};

/// Certificates of the fleet's authority and of another one, made by the openssl program.
class Certificates : NeedsEventLoop
{
public:
    Certificates()
    {
        REQUIRE(m_folder.isValid());
        for (const char *authority : {"authority", "stranger"}) {
            run(QString("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=%1 -keyout "
                        "%1.key -out %1.pem")
                    .arg(authority));
        }
        make("entry-1", "/CN=entry-1", "authority");
        make("vera", "/CN=vera/OU=viewer", "authority");
        make("edi", "/CN=edi/OU=editor", "authority");
        make("norole", "/CN=norole", "authority");
        make("tworoles", "/CN=tworoles/OU=viewer/OU=admin", "authority");
        make("intruder", "/CN=intruder/OU=admin", "stranger");
    }
    [[nodiscard]] std::string path(const std::string &file) const
    {
        return m_folder.filePath(QString::fromStdString(file)).toStdString();
    }
    [[nodiscard]] QSslConfiguration configuration(const std::string &name) const
    {
        const auto result = loadTls({path(name + ".pem"), path(name + ".key"), path("authority.pem")});
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
    void make(const QString &name, const QString &subject, const QString &authority) const
    {
        run(QString("req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj %2 -addext subjectAltName=DNS:%1 "
                    "-keyout %1.key -out %1.csr")
                .arg(name, subject));
        run(QString("x509 -req -days 2 -copy_extensions copy -CAcreateserial -in %1.csr -CA %2.pem -CAkey %2.key -out "
                    "%1.pem")
                .arg(name, authority));
    }

    QTemporaryDir m_folder;
};

} // namespace

// Guards against a race over the network that leaves an operator with the wrong outcome when the store's answer to one
// of the changes is lost.
TEST_CASE("operators race through two entries over the network", "[fleet][operators]")
{
    ServingFleet fleet;
    WireOperator ana(fleet.entries[0]->operatorPort());
    WireOperator budi(fleet.entries[1]->operatorPort());
    const wo::PlanReply planOfAna = ana.plan(Model);
    const wo::PlanReply planOfBudi = budi.plan(Model + "weight_bytes = 7\n");
    fleet.fault({{"fault", "lose_answer"}, {"path", "/v3/kv/txn"}, {"count", 1}});
    ana.startApply(planOfAna, "change-of-ana");
    budi.startApply(planOfBudi, "change-of-budi");
    const wo::ChangeReply replyToAna = ana.finishApply();
    const wo::ChangeReply replyToBudi = budi.finishApply();
    const bool anaWon = replyToAna.code == static_cast<int>(ResultCode::Ok);
    const wo::ChangeReply &won = anaWon ? replyToAna : replyToBudi;
    const wo::ChangeReply &lost = anaWon ? replyToBudi : replyToAna;
    CHECK(won.code == static_cast<int>(ResultCode::Ok));
    CHECK(won.revision == 1);
    CHECK(lost.code == static_cast<int>(ResultCode::ConfigConflict));
    REQUIRE(lost.between.size() == 1);
    CHECK(lost.between[0].changeId == (anaWon ? "change-of-ana" : "change-of-budi"));
}

// Guards against a change by somebody whose certificate gives no right to it.
TEST_CASE("the client certificate gives the operator's name and role", "[fleet][operators]")
{
    const Certificates certificates;
    ServingFleet fleet("tls_certificate = " + certificates.path("entry-1.pem")
                       + "\ntls_key = " + certificates.path("entry-1.key")
                       + "\ntls_authority = " + certificates.path("authority.pem") + "\n");
    const quint16 port = fleet.entries[0]->operatorPort();
    WireOperator edi(port, certificates.configuration("edi"));
    edi.startApply(edi.plan(Model), "change-1");
    CHECK(edi.finishApply().code == static_cast<int>(ResultCode::Ok));
    const auto history = FleetFixture::call<HistoryReply>(*fleet.entries[0], HistoryCall {});
    REQUIRE(history.changes.size() == 1);
    CHECK(history.changes[0].author == "edi");

    WireOperator vera(port, certificates.configuration("vera"));
    vera.startApply(vera.plan(Model + "weight_bytes = 7\n"), "change-2");
    std::int32_t code = 0;
    try {
        static_cast<void>(vera.finishApply());
    } catch (const wo::OperatorError &error) {
        code = error.code;
    }
    CHECK(code == static_cast<int>(ResultCode::PermissionDenied));

    const std::string refused = GENERATE("norole", "tworoles", "intruder", "");
    CAPTURE(refused);
    QSslConfiguration tls = certificates.configuration(refused.empty() ? "vera" : refused);
    if (refused.empty()) {
        tls.setLocalCertificateChain({});
        tls.setPrivateKey({});
    }
    WireOperator stranger(port, tls);
    stranger.start([](wo::OperatorClient &client) {
        client.send_status(0);
    });
    CHECK_FALSE(stranger.waitForAnswer());
}

// Guards against a client that ends or blocks the server by bytes that are no call.
TEST_CASE("bytes that are no call end the connection only", "[fleet][operators]")
{
    ServingFleet fleet;
    const std::string bytes = GENERATE(std::string("\xff\xff\xff\xff", 4),
                                       std::string("\0\0\0\0", 4),
                                       std::string("\0\0\0\x05hello", 9),
                                       std::string("GET / HTTP/1.1\r\n\r\n"));
    WireOperator client(fleet.entries[0]->operatorPort());
    client.sendBytes(bytes);
    CHECK_FALSE(client.waitForAnswer());
    WireOperator next(fleet.entries[0]->operatorPort());
    CHECK(next.plan(Model).edits.size() == 1);
}

// Guards against operators' calls without a certificate from another machine.
TEST_CASE("without TLS operators are served on loopback addresses only", "[fleet][operators]")
{
    const auto read = [](const std::string &listen, const std::string &more) {
        auto file =
            std::get<SettingsFile>(SettingsFile::parse("test.ini", "[operators]\nlisten = " + listen + "\n" + more));
        static_cast<void>(readOperators(file));
        const std::optional<Error> error = file.finish();
        return error ? error->message : std::string();
    };
    CHECK(read("127.0.0.1:7", "plain_role = editor\n").empty());
    CHECK(read("[::1]:7", "").empty());
    CHECK(read("10.0.0.1:7", "").find("loopback") != std::string::npos);
    CHECK(read("0.0.0.0:7", "").find("loopback") != std::string::npos);
    CHECK(read("127.0.0.1:7", "plain_role = owner\n").find("plain_role") != std::string::npos);
}
