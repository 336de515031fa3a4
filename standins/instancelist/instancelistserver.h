#pragma once

#include "standins/common/standinserver.h"

#include <QJsonArray>

#include <map>

namespace ibismast
{

/// Settings of an `InstanceListServer`.
struct InstanceListSettings
{
    /// Time until a change becomes visible.
    Duration lag {};
};

/// The platform's list of live and leaving instances, `GET /instances`.
///
/// Own control commands: `{"set": [{"id": ..., "role": ..., "address": ..., "domain": ..., "state": ...}]}` adds or
/// replaces instances, `{"remove": [id]}` removes some, `{"lag_ms": n}` changes the lag.
class InstanceListServer : public StandinServer
{
public:
    explicit InstanceListServer(const InstanceListSettings &settings = {});

protected:
    void handle(const StandinRequest &request, const StandinReplyPointer &reply) override;
    Result<QJsonObject> executeOwn(const QJsonObject &command) override;
    [[nodiscard]] QJsonObject status() const override;

private:
    /// Runs @p change after the lag, at once if there is none.
    void schedule(std::function<void()> change);

    InstanceListSettings m_settings;
    std::map<QString, QJsonObject> m_instances;
};

} // namespace ibismast
