#include "ibismast/config/fieldcodec.h"

#include <charconv>
#include <utility>

namespace ibismast
{

FieldWriter &FieldWriter::text(std::string_view value)
{
    m_bytes += std::to_string(value.size());
    m_bytes += ':';
    m_bytes += value;
    return *this;
}

FieldWriter &FieldWriter::number(std::int64_t value)
{
    return text(std::to_string(value));
}

std::string FieldWriter::take()
{
    return std::exchange(m_bytes, {});
}

FieldReader::FieldReader(std::string_view bytes) : m_rest(bytes) { }

void FieldReader::fail()
{
    m_ok = false;
    m_rest = {};
}

std::string FieldReader::text()
{
    std::size_t length = 0;
    const char *end = m_rest.data() + m_rest.size();
    const auto [colon, error] = std::from_chars(m_rest.data(), end, length);
    if (error != std::errc() || colon == end || *colon != ':' || length > static_cast<std::size_t>(end - colon - 1)) {
        fail();
        return {};
    }
    std::string value(colon + 1, length);
    m_rest.remove_prefix(static_cast<std::size_t>(colon + 1 - m_rest.data()) + length);
    return value;
}

std::int64_t FieldReader::number()
{
    const std::string digits = text();
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        fail();
        return 0;
    }
    return value;
}

std::size_t FieldReader::count()
{
    const std::int64_t value = number();
    if (value < 0 || static_cast<std::size_t>(value) > m_rest.size()) {
        fail();
        return 0;
    }
    return static_cast<std::size_t>(value);
}

bool FieldReader::ok() const
{
    return m_ok;
}

bool FieldReader::atEnd() const
{
    return m_rest.empty();
}

} // namespace ibismast
