#include "adapters/keyhash.h"

#include <QtCore/QCryptographicHash>

namespace ibismast
{

std::string keyHash(std::string_view key)
{
    const QByteArray bytes(key.data(), static_cast<qsizetype>(key.size()));
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace ibismast
