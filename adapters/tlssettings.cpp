#include "adapters/tlssettings.h"

namespace ibismast
{

std::optional<QSslConfiguration> readTls(SettingsFile &file, const std::string &section)
{
    const TlsFiles files {file.text(section, "tls_certificate", "-"),
                          file.text(section, "tls_key", "-"),
                          file.text(section, "tls_authority", "-")};
    if (files.certificate == "-" && files.key == "-" && files.authority == "-") {
        return std::nullopt;
    }
    TlsFiles used = files;
    if (used.authority == "-") {
        used.authority.clear();
    }
    Result<QSslConfiguration> tls = loadTls(used);
    if (const Error *error = errorOf(tls)) {
        file.refuse(section, "tls_certificate", files.certificate, "usable with its key: " + error->message);
        return std::nullopt;
    }
    return std::get<QSslConfiguration>(tls);
}

} // namespace ibismast
