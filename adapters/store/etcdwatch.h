#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/store/storemessages.h"

#include <QNetworkAccessManager>
#include <QTimer>
#include <QUrl>

#include <functional>

class QNetworkReply;

namespace ibismast
{

/// Settings of an `EtcdWatch`.
struct EtcdWatchSettings
{
    /// Bounds of the pause before a broken watch is started again; it doubles with each failure and is jittered.
    Duration retryMin = std::chrono::milliseconds(100);
    Duration retryMax = std::chrono::seconds(10);
    /// A watch without a message for this time is started again, since a peer that vanished closes no connection.
    Duration idleLimit = std::chrono::seconds(60);
};

/// One watch of the key-value service that survives broken connections: it continues behind the last change that it
/// passed on, so that none is lost or repeated.
///
/// Each watch has its own QNetworkAccessManager, which opens at most 6 connections to a host: watches that share one
/// with other calls could block them.
class EtcdWatch : public QObject
{
public:
    using EventsHandler = std::function<void(const StoreWatchEvents &events)>;

    /// @p seed starts the random source of the jitter.
    EtcdWatch(const EtcdWatchSettings &settings,
              const QUrl &gateway,
              StoreWatch watch,
              std::uint64_t seed,
              EventsHandler handler);
    ~EtcdWatch() override;

    void start();

private:
    void connectStream();
    void closeStream();
    void read();
    void handleLine(const QByteArray &line);
    void streamEnded();

    EtcdWatchSettings m_settings;
    QUrl m_gateway;
    StoreWatch m_watch;
    SeededRandom m_random;
    EventsHandler m_handler;
    QNetworkAccessManager m_manager;
    QNetworkReply *m_stream = nullptr;
    QByteArray m_buffer;
    QTimer m_retryTimer;
    QTimer m_idleTimer;
    Duration m_pause;
    bool m_ended = false;
};

} // namespace ibismast
