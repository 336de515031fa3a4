#pragma once

#include "ibismast/store/storemessages.h"

#include <QByteArray>
#include <QJsonObject>

#include <optional>

/// Conversion between the calls of the key-value service and the objects of the etcd v3 JSON gateway.
namespace ibismast::etcd
{

/// Path and body of a call.
struct GatewayRequest
{
    QByteArray path;
    QJsonObject body;
};

/// Returns the gateway's form of @p operation; it must not be a `StoreWatchCancel`, which has none.
[[nodiscard]] GatewayRequest toRequest(const StoreOperation &operation);

/// Returns the outcome of a call other than a watch; nothing if @p answer has another form.
[[nodiscard]] std::optional<StoreOutcome> parseAnswer(const StoreOperation &operation, const QJsonObject &answer);

/// Message of a watch stream.
struct WatchMessage
{
    bool created = false;
    bool canceled = false;
    /// Revision of the store when the message was sent.
    StoreRevision storeRevision;
    std::vector<StoreEntry> puts;
    std::vector<StoreEntry> deletes;
    /// Revision of the last change in this message; 0 if it has none.
    StoreRevision lastChange;
};

/// Parses the `result` of one line of a watch stream; nothing if it has another form.
[[nodiscard]] std::optional<WatchMessage> parseWatchMessage(const QJsonObject &result);

/// Returns true if an error answer of @p httpStatus proves that the call had no effect.
[[nodiscard]] bool provesNoEffect(int httpStatus);
/// Returns true if carrying out @p operation changes nothing in the store.
[[nodiscard]] bool readsOnly(const StoreOperation &operation);

} // namespace ibismast::etcd
