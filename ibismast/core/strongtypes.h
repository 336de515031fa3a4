#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace ibismast
{

/// Integer value with a type of its own; @p Tag separates unrelated quantities at compile time.
template<typename Tag, typename Rep = std::int64_t> class StrongInteger
{
public:
    constexpr StrongInteger() = default;
    constexpr explicit StrongInteger(Rep value) : m_value(value) { }

    [[nodiscard]] constexpr Rep value() const
    {
        return m_value;
    }

    constexpr auto operator<=>(const StrongInteger &) const = default;

    constexpr StrongInteger &operator+=(StrongInteger other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr StrongInteger &operator-=(StrongInteger other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr StrongInteger operator+(StrongInteger left, StrongInteger right)
    {
        return StrongInteger(left.m_value + right.m_value);
    }
    friend constexpr StrongInteger operator-(StrongInteger left, StrongInteger right)
    {
        return StrongInteger(left.m_value - right.m_value);
    }

private:
    Rep m_value = 0;
};

/// Text id with a type of its own; @p Tag separates unrelated ids at compile time.
template<typename Tag> class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value) : m_value(std::move(value)) { }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const StrongString &) const = default;

private:
    std::string m_value;
};

} // namespace ibismast

template<typename Tag, typename Rep> struct std::hash<ibismast::StrongInteger<Tag, Rep>>
{
    std::size_t operator()(const ibismast::StrongInteger<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>()(id.value());
    }
};

template<typename Tag> struct std::hash<ibismast::StrongString<Tag>>
{
    std::size_t operator()(const ibismast::StrongString<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
