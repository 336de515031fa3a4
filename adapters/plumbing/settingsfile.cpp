#include "adapters/plumbing/settingsfile.h"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace ibismast
{

namespace
{

namespace pt = boost::property_tree;

Error invalid(std::string message)
{
    return {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template<typename Number> std::optional<Number> parseNumber(const std::string &text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string rangeText(double min, double max)
{
    std::ostringstream out;
    out << "a number from " << min << " to " << max;
    return out.str();
}

} // namespace

Result<SettingsFile> SettingsFile::read(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return invalid(path + ": the file cannot be read or is empty");
    }
    return parse(path, text.str());
}

Result<SettingsFile> SettingsFile::parse(std::string name, const std::string &text)
{
    SettingsFile file(std::move(name));
    try {
        std::istringstream input(text);
        pt::ptree tree;
        pt::read_ini(input, tree);
        for (const auto &[section, keys] : tree) {
            if (keys.empty() && !keys.data().empty()) {
                return invalid(file.m_name + ": key " + section + ": a key must stand in a section");
            }
            for (const auto &[key, value] : keys) {
                file.m_sections[section][key] = value.data();
            }
        }
    } catch (const pt::ini_parser_error &error) {
        return invalid(file.m_name + ": line " + std::to_string(error.line()) + ": " + error.message());
    }
    return file;
}

std::vector<std::string> SettingsFile::sections(const std::string &prefix)
{
    std::vector<std::string> result;
    for (const auto &[section, keys] : m_sections) {
        if (section.starts_with(prefix)) {
            m_known[section];
            result.push_back(section.substr(prefix.size()));
        }
    }
    return result;
}

bool SettingsFile::has(const std::string &section, const std::string &key) const
{
    const auto found = m_sections.find(section);
    return found != m_sections.end() && found->second.contains(key);
}

std::string
SettingsFile::text(const std::string &section, const std::string &key, const std::optional<std::string> &defaultValue)
{
    const std::optional<std::string> set = value(section, key);
    if ((!set && !defaultValue) || (set && set->empty())) {
        refuse(section, key, {}, "a text that is not empty");
        return {};
    }
    return set ? *set : *defaultValue;
}

std::int64_t SettingsFile::integer(
    const std::string &section, const std::string &key, std::int64_t defaultValue, std::int64_t min, std::int64_t max)
{
    const std::optional<std::string> set = value(section, key);
    if (!set) {
        return defaultValue;
    }
    const auto number = parseNumber<std::int64_t>(*set);
    if (!number || *number < min || *number > max) {
        refuse(section, key, *set, "an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return defaultValue;
    }
    return *number;
}

double
SettingsFile::number(const std::string &section, const std::string &key, double defaultValue, double min, double max)
{
    const std::optional<std::string> set = value(section, key);
    if (!set) {
        return defaultValue;
    }
    const auto number = parseNumber<double>(*set);
    if (!number || !(*number >= min && *number <= max)) {
        refuse(section, key, *set, rangeText(min, max));
        return defaultValue;
    }
    return *number;
}

Duration SettingsFile::milliseconds(const std::string &section,
                                    const std::string &key,
                                    Duration defaultValue,
                                    std::chrono::milliseconds min,
                                    std::chrono::milliseconds max)
{
    const auto fallback = std::chrono::duration_cast<std::chrono::milliseconds>(defaultValue).count();
    return std::chrono::milliseconds(integer(section, key, fallback, min.count(), max.count()));
}

std::vector<std::string> SettingsFile::list(const std::string &section, const std::string &key)
{
    std::vector<std::string> result;
    const std::optional<std::string> set = value(section, key);
    if (!set || set->empty()) {
        return result;
    }
    std::istringstream input(*set);
    std::string element;
    while (std::getline(input, element, ',')) {
        element = trimmed(element);
        if (element.empty()) {
            refuse(section, key, *set, "elements that are not empty, separated by commas");
        } else {
            result.push_back(element);
        }
    }
    return result;
}

void SettingsFile::refuse(const std::string &section,
                          const std::string &key,
                          const std::string &value,
                          const std::string &expected)
{
    m_violations.push_back(m_name + ": section [" + section + "], key " + key + ", value \"" + value + "\": must be "
                           + expected);
}

std::optional<Error> SettingsFile::finish()
{
    for (const auto &[section, keys] : m_sections) {
        const auto known = m_known.find(section);
        if (known == m_known.end()) {
            m_violations.push_back(m_name + ": section [" + section + "] is unknown");
            continue;
        }
        for (const auto &[key, value] : keys) {
            if (!known->second.contains(key)) {
                std::string names;
                for (const std::string &name : known->second) {
                    names += names.empty() ? name : ", " + name;
                }
                refuse(section, key, value, "removed, since the key is unknown; known keys: " + names);
            }
        }
    }
    if (m_violations.empty()) {
        return std::nullopt;
    }
    std::string message;
    for (const std::string &violation : m_violations) {
        message += message.empty() ? violation : '\n' + violation;
    }
    return invalid(message);
}

std::optional<std::string> SettingsFile::value(const std::string &section, const std::string &key)
{
    m_known[section].insert(key);
    const auto found = m_sections.find(section);
    if (found == m_sections.end()) {
        return std::nullopt;
    }
    const auto entry = found->second.find(key);
    return entry == found->second.end() ? std::nullopt : std::optional(entry->second);
}

} // namespace ibismast
