#pragma once

#include "standins/common/standinserver.h"
#include "standins/keyvalue/keyvaluemodel.h"
#include "standins/keyvalue/ratelimit.h"

#include <QTimer>

#include <list>

namespace ibismast
{

/// Settings of a `KeyValueServer`.
struct KeyValueServerSettings
{
    KeyValueModelSettings model;
    /// Transactions, lease grants and revocations per second; 0 means no limit.
    double writesPerSecond = 500;
    /// Ranges, keep-alives and starts of watches per second; 0 means no limit.
    double readsPerSecond = 2'000;
    /// Largest value in bytes.
    std::size_t maxValueBytes = 1'048'576;
};

/// Key-value service with the interface of the etcd v3 JSON gateway.
///
/// Own control commands: `{"drop_watch_events": n}` drops the next n events of every open watch,
/// `{"lapse_leases": true}` ends all leases, `{"end_watches": true}` closes all watches.
class KeyValueServer : public StandinServer
{
public:
    explicit KeyValueServer(const KeyValueServerSettings &settings = {});

protected:
    void handle(const StandinRequest &request, const StandinReplyPointer &reply) override;
    Result<QJsonObject> executeOwn(const QJsonObject &command) override;
    [[nodiscard]] QJsonObject status() const override;

private:
    struct Watch
    {
        StandinReplyPointer reply;
        std::string key;
        std::string rangeEnd;
        std::int64_t nextRevision = 0;
        int eventsToDrop = 0;
    };

    void range(const QJsonObject &body, StandinReply &reply);
    void put(const QJsonObject &body, StandinReply &reply);
    void deleteRange(const QJsonObject &body, StandinReply &reply);
    void transaction(const QJsonObject &body, StandinReply &reply);
    void leaseGrant(const QJsonObject &body, StandinReply &reply);
    void leaseKeepAlive(const QJsonObject &body, StandinReply &reply);
    void leaseRevoke(const QJsonObject &body, StandinReply &reply);
    void watch(const QJsonObject &body, const StandinReplyPointer &reply);

    [[nodiscard]] QJsonObject header() const;
    [[nodiscard]] QJsonObject rangeResult(const QJsonObject &body) const;
    /// Checks the limits, applies the writes and answers with an error if that fails.
    bool write(const std::vector<KeyValueWrite> &writes, StandinReply &reply);
    void deliverChanges();
    void deliverChanges(Watch &watch);

    KeyValueServerSettings m_settings;
    KeyValueModel m_model;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::list<Watch> m_watches;
    QTimer m_expiryTimer;
    qint64 m_reads = 0;
    qint64 m_writes = 0;
    qint64 m_refused = 0;
};

} // namespace ibismast
