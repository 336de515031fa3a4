#include "ibismast/config/iniparser.h"

#include <algorithm>
#include <cctype>

namespace ibismast
{

namespace
{

std::string_view trim(std::string_view text)
{
    const auto isSpace = [](char character) {
        return character == ' ' || character == '\t' || character == '\r';
    };
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

std::string collapseSpaces(std::string_view text)
{
    std::string result;
    for (const char character : trim(text)) {
        const char plain = character == '\t' ? ' ' : character;
        if (plain != ' ' || result.back() != ' ') {
            result += plain;
        }
    }
    return result;
}

class Parser
{
public:
    explicit Parser(const std::string &file)
    {
        m_document.file = file;
    }

    void parseLine(std::string_view line)
    {
        m_line += 1;
        line = trim(line);
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            return;
        }
        const bool hasControl = std::ranges::any_of(line, [](char character) {
            return std::iscntrl(static_cast<unsigned char>(character)) != 0 && character != '\t';
        });
        if (hasControl) {
            addIssue({}, {}, "control character");
        } else if (line.front() == '[') {
            parseSection(line);
        } else {
            parseValue(line);
        }
    }

    IniDocument take()
    {
        return std::move(m_document);
    }

private:
    void addIssue(std::string key, std::string value, std::string problem)
    {
        m_document.issues.push_back(
            {m_document.file, m_line, m_sectionName, std::move(key), std::move(value), std::move(problem), {}});
    }

    void parseSection(std::string_view line)
    {
        m_section = nullptr;
        m_sectionName.clear();
        m_inFaultySection = true;
        if (line.back() != ']') {
            addIssue({}, {}, "section without closing bracket");
            return;
        }
        m_sectionName = collapseSpaces(line.substr(1, line.size() - 2));
        if (m_sectionName.empty()) {
            addIssue({}, {}, "section without a name");
            return;
        }
        const auto [section, added] = m_document.sections.try_emplace(m_sectionName);
        if (!added) {
            addIssue({}, {}, "section repeated; first in line " + std::to_string(section->second.line));
            return;
        }
        section->second.line = m_line;
        m_section = &section->second;
        m_inFaultySection = false;
    }

    void parseValue(std::string_view line)
    {
        const auto equals = line.find('=');
        if (equals == std::string_view::npos) {
            addIssue({}, {}, "neither a section nor key = value");
            return;
        }
        const std::string key(trim(line.substr(0, equals)));
        const std::string value(trim(line.substr(equals + 1)));
        if (key.empty()) {
            addIssue({}, value, "value without a key");
        } else if (!m_section) {
            if (!m_inFaultySection) {
                addIssue(key, value, "key outside of a section");
            }
        } else if (const auto [entry, added] = m_section->values.try_emplace(key, IniValue {value, m_line}); !added) {
            addIssue(key, value, "key repeated; first in line " + std::to_string(entry->second.line));
        }
    }

    IniDocument m_document;
    IniSection *m_section = nullptr;
    std::string m_sectionName;
    /// The fault was reported with the section; its keys add none.
    bool m_inFaultySection = false;
    int m_line = 0;
};

} // namespace

IniDocument parseIni(const std::string &file, std::string_view text)
{
    Parser parser(file);
    while (!text.empty()) {
        const auto end = text.find('\n');
        parser.parseLine(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parser.take();
}

} // namespace ibismast
