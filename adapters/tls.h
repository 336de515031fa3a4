#pragma once

#include "ibismast/core/result.h"

#include <QtNetwork/QSslConfiguration>

namespace ibismast
{

/// Files of a TLS endpoint, in PEM form.
struct TlsFiles
{
    std::string certificate;
    std::string key;
    /// Certificate authority of the other side. If it is set, the other side must present a certificate of it.
    std::string authority;
};

/// Reads @p files. Fails with `SettingsInvalid`, naming the file, if one cannot be used.
[[nodiscard]] Result<QSslConfiguration> loadTls(const TlsFiles &files);

} // namespace ibismast
