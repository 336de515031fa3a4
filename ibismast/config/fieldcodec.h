#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibismast
{

/// Writes a sequence of fields, each as its length, a colon and its bytes.
class FieldWriter
{
public:
    FieldWriter &text(std::string_view value);
    FieldWriter &number(std::int64_t value);
    /// Returns what was written.
    [[nodiscard]] std::string take();

private:
    std::string m_bytes;
};

/// Reads the fields written by `FieldWriter`. After a malformed field every read gives an empty value.
class FieldReader
{
public:
    /// @p bytes must outlive the reader.
    explicit FieldReader(std::string_view bytes);

    [[nodiscard]] std::string text();
    [[nodiscard]] std::int64_t number();
    /// Reads a number of items that follow. Fails if it is negative or larger than the bytes that are left.
    [[nodiscard]] std::size_t count();
    /// True if no field was malformed so far.
    [[nodiscard]] bool ok() const;
    /// True if all bytes were read or a field was malformed.
    [[nodiscard]] bool atEnd() const;

private:
    void fail();

    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace ibismast
