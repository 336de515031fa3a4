#include "ibismast/core/ids.h"

#include <charconv>
#include <vector>

namespace ibismast
{

namespace
{

std::string toHex(std::uint64_t value)
{
    char buffer[16];
    const auto end = std::to_chars(std::begin(buffer), std::end(buffer), value, 16).ptr;
    return std::string(std::begin(buffer), end);
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> fields;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = text.find(separator, start);
        fields.push_back(text.substr(start, end - start));
        if (end == std::string_view::npos) {
            return fields;
        }
        start = end + 1;
    }
}

} // namespace

std::string toString(PromptPartId id)
{
    return toHex(id.value());
}

std::string toString(RequestHash hash)
{
    return toHex(hash.value());
}

std::string toString(const RequestId &id)
{
    return toHex(id.entry.value()) + '-' + toHex(id.sequence);
}

std::string toString(const AttemptId &id)
{
    return toString(id.request) + '-' + toHex(id.number);
}

std::string toString(const OperationId &id)
{
    return id.agent.value() + '.' + toHex(id.incarnation.value()) + '.' + toHex(id.number);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    const auto fields = split(text, '-');
    if (fields.size() != 2) {
        return std::nullopt;
    }
    const auto entry = parseHex(fields[0]);
    const auto sequence = parseHex(fields[1]);
    if (!entry || !sequence) {
        return std::nullopt;
    }
    return RequestId {Incarnation(*entry), *sequence};
}

std::optional<AttemptId> parseAttemptId(std::string_view text)
{
    const std::size_t last = text.rfind('-');
    if (last == std::string_view::npos) {
        return std::nullopt;
    }
    const auto request = parseRequestId(text.substr(0, last));
    const auto number = parseHex(text.substr(last + 1));
    if (!request || !number || *number > UINT32_MAX) {
        return std::nullopt;
    }
    return AttemptId {*request, static_cast<std::uint32_t>(*number)};
}

std::optional<OperationId> parseOperationId(std::string_view text)
{
    const std::size_t last = text.rfind('.');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('.', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    const auto incarnation = parseHex(text.substr(middle + 1, last - middle - 1));
    const auto number = parseHex(text.substr(last + 1));
    if (!incarnation || !number) {
        return std::nullopt;
    }
    return OperationId {InstanceId(std::string(text.substr(0, middle))), Incarnation(*incarnation), *number};
}

} // namespace ibismast
