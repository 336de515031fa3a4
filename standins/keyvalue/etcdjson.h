#pragma once

#include "standins/keyvalue/keyvaluemodel.h"

#include <QJsonObject>

/// Conversion between the etcd v3 JSON gateway's objects and the model's structures.
namespace ibismast::etcdjson
{

/// Returns field @p name (snake case) of @p object, which may also be spelled in camel case as the gateway accepts.
[[nodiscard]] QJsonValue field(const QJsonObject &object, const QString &name);
/// Returns a base64 field as bytes.
[[nodiscard]] std::string bytesField(const QJsonObject &object, const QString &name);
/// Returns a 64-bit integer that is spelled as a decimal string or as a number.
[[nodiscard]] std::int64_t integerField(const QJsonObject &object, const QString &name);

/// Returns the `kv` object of @p record; fields of value 0 are left out, as the gateway does.
[[nodiscard]] QJsonObject toJson(const KeyValueRecord &record);
/// Returns the watch event of @p change.
[[nodiscard]] QJsonObject toJson(const KeyValueChange &change);

/// Parses one object of a transaction's `compare` list.
[[nodiscard]] Result<KeyValueCompare> parseCompare(const QJsonObject &object);
/// Parses the object of a put request.
[[nodiscard]] KeyValueWrite parsePut(const QJsonObject &object);
/// Parses the object of a delete-range request.
[[nodiscard]] KeyValueWrite parseDeletion(const QJsonObject &object);

} // namespace ibismast::etcdjson
