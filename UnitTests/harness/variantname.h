#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace ibismast::harness
{

/// Returns the name of type @p T without its namespaces. A new message type gets its name by itself.
template<typename T> [[nodiscard]] constexpr std::string_view typeName()
{
    std::string_view name = __PRETTY_FUNCTION__;
    name = name.substr(name.find("T = ") + 4);
    name = name.substr(0, name.find_first_of(";]"));
    return name.substr(name.rfind(':') + 1);
}

/// Returns the name of the alternative that @p variant holds.
template<typename... Types> [[nodiscard]] std::string_view alternativeName(const std::variant<Types...> &variant)
{
    return std::visit(
        []<typename T>(const T &) {
            return typeName<T>();
        },
        variant);
}

} // namespace ibismast::harness
