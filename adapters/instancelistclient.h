#pragma once

#include "ibismast/core/messages.h"

#include <QtCore/QTimer>
#include <QtCore/QUrl>
#include <QtNetwork/QNetworkAccessManager>

#include <functional>

namespace ibismast
{

/// Settings of the client of the platform's instance list.
struct InstanceListClientSettings
{
    QUrl url;
    Duration interval = std::chrono::seconds(1);
    Duration timeout = std::chrono::seconds(2);
};

/// Returns the instances in the JSON text of `GET /instances`; `Error` names the first malformed element.
[[nodiscard]] Result<std::vector<PeerSummary>> parseInstanceList(std::string_view json);

/// Reads the platform's instance list at intervals. While the list is unavailable the last one stays valid.
class InstanceListClient : public QObject
{
public:
    using Handler = std::function<void(const std::vector<PeerSummary> &instances)>;

    InstanceListClient(const InstanceListClientSettings &settings, Handler handler);

    void start();
    void stop();

private:
    void read();

    InstanceListClientSettings m_settings;
    Handler m_handler;
    QNetworkAccessManager m_manager;
    QTimer m_timer;
    bool m_reading = false;
    bool m_failing = false;
};

} // namespace ibismast
