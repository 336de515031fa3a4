#include "standins/keyvalue/etcdjson.h"

#include <QByteArray>

#include <algorithm>
#include <array>

namespace ibismast::etcdjson
{

namespace
{

using Target = KeyValueCompare::Target;
using Relation = KeyValueCompare::Relation;

struct TargetName
{
    const char *name;
    const char *field;
    Target target;
};

// In the order of the enumerators of etcd's protocol, which may also be sent as numbers.
constexpr std::array Targets {
    TargetName {"VERSION", "version", Target::Version},
    TargetName {"CREATE", "create_revision", Target::CreateRevision},
    TargetName {"MOD", "mod_revision", Target::ModRevision},
    TargetName {"VALUE", "value", Target::Value},
};
constexpr std::array Relations {
    std::pair {"EQUAL", Relation::Equal},
    std::pair {"GREATER", Relation::Greater},
    std::pair {"LESS", Relation::Less},
    std::pair {"NOT_EQUAL", Relation::NotEqual},
};

QString toBase64(const std::string &bytes)
{
    return QString::fromLatin1(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
}

/// Returns the index of the enumerator in @p value, given by name or number; the first one is the default.
template<typename Names, typename NameOf> int enumerator(const QJsonValue &value, const Names &names, NameOf nameOf)
{
    if (!value.isString()) {
        return value.toInt(0);
    }
    const QString text = value.toString();
    const auto found = std::ranges::find_if(names, [&](const auto &entry) {
        return text == QLatin1String(nameOf(entry));
    });
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

} // namespace

QJsonValue field(const QJsonObject &object, const QString &name)
{
    if (object.contains(name)) {
        return object[name];
    }
    QString camel;
    for (qsizetype i = 0; i < name.size(); ++i) {
        camel += name[i] == '_' && i + 1 < name.size() ? name[++i].toUpper() : name[i];
    }
    return object[camel];
}

std::string bytesField(const QJsonObject &object, const QString &name)
{
    return QByteArray::fromBase64(field(object, name).toString().toLatin1()).toStdString();
}

std::int64_t integerField(const QJsonObject &object, const QString &name)
{
    const QJsonValue value = field(object, name);
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

QJsonObject toJson(const KeyValueRecord &record)
{
    QJsonObject object {{"key", toBase64(record.key)}, {"mod_revision", QString::number(record.modRevision)}};
    if (record.version != 0) {
        object["create_revision"] = QString::number(record.createRevision);
        object["version"] = QString::number(record.version);
    }
    if (!record.value.empty()) {
        object["value"] = toBase64(record.value);
    }
    if (record.lease != 0) {
        object["lease"] = QString::number(record.lease);
    }
    return object;
}

QJsonObject toJson(const KeyValueChange &change)
{
    QJsonObject object {{"kv", toJson(change.record)}};
    if (change.deleted) {
        object["type"] = "DELETE";
    }
    return object;
}

Result<KeyValueCompare> parseCompare(const QJsonObject &object)
{
    const int target = enumerator(object["target"], Targets, [](const TargetName &entry) {
        return entry.name;
    });
    const int relation = enumerator(object["result"], Relations, [](const auto &entry) {
        return entry.first;
    });
    if (target < 0 || target >= static_cast<int>(Targets.size())) {
        return Error {ResultCode::InvalidArgument, "target: unknown compare target", std::nullopt};
    }
    if (relation < 0 || relation >= static_cast<int>(Relations.size())) {
        return Error {ResultCode::InvalidArgument, "result: unknown compare result", std::nullopt};
    }
    const TargetName &entry = Targets.at(static_cast<std::size_t>(target));
    KeyValueCompare compare;
    compare.key = bytesField(object, "key");
    compare.target = entry.target;
    compare.relation = Relations.at(static_cast<std::size_t>(relation)).second;
    if (compare.target == Target::Value) {
        compare.value = bytesField(object, entry.field);
    } else {
        compare.number = integerField(object, entry.field);
    }
    return compare;
}

KeyValueWrite parsePut(const QJsonObject &object)
{
    return {false, bytesField(object, "key"), {}, bytesField(object, "value"), integerField(object, "lease")};
}

KeyValueWrite parseDeletion(const QJsonObject &object)
{
    return {true, bytesField(object, "key"), bytesField(object, "range_end"), {}, 0};
}

} // namespace ibismast::etcdjson
