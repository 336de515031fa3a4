#include "ibismast/config/configdiff.h"

#include <set>

namespace ibismast
{

namespace
{

// Enough digits to tell the hashes of a customer apart.
constexpr std::size_t ShownHashDigits = 8;

std::string shown(const std::string &key, const std::string &value)
{
    if (key != "api_key_sha256") {
        return value;
    }
    std::string text;
    std::size_t run = 0;
    for (const char character : value) {
        const bool separator = character == ',' || character == ' ';
        run = separator ? 0 : run + 1;
        if (separator || run <= ShownHashDigits) {
            text += character;
        }
    }
    return text;
}

std::string lineOf(char sign, const std::string &key, const ObjectValues &values)
{
    return std::string("  ") + sign + ' ' + key + " = " + shown(key, values.at(key)) + '\n';
}

} // namespace

std::vector<ConfigEdit> diffObjects(const std::map<ObjectName, ConfigObject> &before,
                                    const std::map<ObjectName, ObjectValues> &after)
{
    std::set<ObjectName> names;
    for (const auto &[name, object] : before) {
        names.insert(name);
    }
    for (const auto &[name, values] : after) {
        names.insert(name);
    }
    std::vector<ConfigEdit> edits;
    for (const ObjectName &name : names) {
        ConfigEdit edit {name, std::nullopt, std::nullopt};
        if (const auto old = before.find(name); old != before.end()) {
            edit.before = old->second.values;
        }
        if (const auto next = after.find(name); next != after.end()) {
            edit.after = next->second;
        }
        if (edit.before != edit.after) {
            edits.push_back(std::move(edit));
        }
    }
    return edits;
}

std::string toString(const std::vector<ConfigEdit> &edits)
{
    const ObjectValues empty;
    std::string text;
    for (const ConfigEdit &edit : edits) {
        const ObjectValues &before = edit.before ? *edit.before : empty;
        const ObjectValues &after = edit.after ? *edit.after : empty;
        const char sign = !edit.before ? '+' : !edit.after ? '-' : '~';
        text += std::string(1, sign) + " [" + edit.object + "]\n";
        std::set<std::string> keys;
        for (const auto &[key, value] : before) {
            keys.insert(key);
        }
        for (const auto &[key, value] : after) {
            keys.insert(key);
        }
        for (const std::string &key : keys) {
            const bool had = before.contains(key);
            const bool has = after.contains(key);
            if (had && has && before.at(key) == after.at(key)) {
                continue;
            }
            if (had) {
                text += lineOf('-', key, before);
            }
            if (has) {
                text += lineOf('+', key, after);
            }
        }
    }
    return text;
}

} // namespace ibismast
