#pragma once

#include "adapters/store/etcdwatch.h"

#include <map>
#include <memory>

namespace ibismast
{

class OneShotUpload;

/// Settings of an `EtcdGatewayClient`.
struct EtcdGatewayClientSettings
{
    /// Address of the gateway, for example `http://127.0.0.1:2379`.
    QUrl gateway;
    /// Time after which a call other than a watch fails.
    Duration callTimeout = std::chrono::seconds(2);
    EtcdWatchSettings watch;
};

/// Carries out calls of the key-value service over the etcd v3 JSON gateway.
///
/// Each call is sent at most once and gets exactly one answer; a watch gets answers until it is cancelled or ends.
/// A failure says whether the call may have taken effect. Answers arrive from the event loop, never within `execute`.
class EtcdGatewayClient : public QObject
{
public:
    using AnswerHandler = std::function<void(const StoreAnswer &answer)>;

    /// @p seed starts the random source of the watches' jitter.
    EtcdGatewayClient(EtcdGatewayClientSettings settings, std::uint64_t seed, AnswerHandler handler);
    ~EtcdGatewayClient() override;

    /// Starts @p call.
    void execute(const StoreCall &call);
    /// Number of calls without an answer, watches excluded.
    [[nodiscard]] std::size_t openCalls() const;

private:
    struct OpenCall
    {
        StoreOperation operation;
        QNetworkReply *reply = nullptr;
        bool timedOut = false;
    };

    void startWatch(StoreCallId id, const StoreWatch &watch);
    void startCall(const StoreCall &call);
    void callEnded(StoreCallId id);
    [[nodiscard]] StoreOutcome outcomeOf(const OpenCall &call) const;

    EtcdGatewayClientSettings m_settings;
    SeededRandom m_random;
    AnswerHandler m_handler;
    QNetworkAccessManager m_manager;
    std::map<StoreCallId, OpenCall> m_calls;
    std::map<StoreCallId, std::unique_ptr<EtcdWatch>> m_watches;
};

} // namespace ibismast
