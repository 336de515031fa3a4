#include "adapters/httpendpoint.h"

namespace ibismast
{

std::optional<HttpEndpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string::npos) {
        return std::nullopt;
    }
    bool isNumber = false;
    const quint16 port = QString::fromStdString(text.substr(colon + 1)).toUShort(&isNumber);
    const QHostAddress address(QString::fromStdString(host));
    if (!isNumber || address.isNull()) {
        return std::nullopt;
    }
    return HttpEndpoint {address, port};
}

HttpEndpoint readEndpoint(SettingsFile &file,
                          const std::string &section,
                          const std::string &key,
                          const std::optional<std::string> &defaultValue)
{
    const std::string set = file.text(section, key, defaultValue);
    const std::optional<HttpEndpoint> endpoint = parseEndpoint(set);
    if (!endpoint && !set.empty()) {
        file.refuse(section, key, set, "an address of the form ip:port with a port from 0 to 65535");
    }
    return endpoint.value_or(HttpEndpoint {});
}

} // namespace ibismast
