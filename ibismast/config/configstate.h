#pragma once

#include "ibismast/core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Keys and values of one declared object.
using ObjectValues = std::map<std::string, std::string>;
/// Name of an object as its INI section has it: kind, space, name.
using ObjectName = std::string;

/// Wall clock in milliseconds since 1970, for operators to read; no decision depends on it.
using WallTime = StrongInteger<struct WallTimeTag>;

/// Declared object with the revision of its last change.
struct ConfigObject
{
    ObjectValues values;
    Revision version;

    bool operator==(const ConfigObject &) const = default;
};

/// Change of one object. It holds both sides, so that records can be shown as a diff and be undone.
struct ConfigEdit
{
    ObjectName object;
    /// Nothing if the object is new.
    std::optional<ObjectValues> before;
    /// Nothing if the object is removed.
    std::optional<ObjectValues> after;

    bool operator==(const ConfigEdit &) const = default;
};

/// Accepted change: one entry of the configuration log.
struct ConfigRecord
{
    Revision revision;
    /// Chosen by the operator's client; the same id is never accepted twice while the log's head remembers it.
    std::string changeId;
    std::string author;
    std::string reason;
    WallTime time;
    std::vector<ConfigEdit> edits;

    bool operator==(const ConfigRecord &) const = default;
};

/// All declared objects at one revision.
struct ConfigState
{
    Revision revision;
    std::map<ObjectName, ConfigObject> objects;

    bool operator==(const ConfigState &) const = default;
};

/// Returns the state after @p record; the revision of @p record must follow that of @p state.
void applyRecord(ConfigState &state, const ConfigRecord &record);
/// Returns the state before the newest record @p record. Versions of the objects that it changed become unknown (0).
void undoRecord(ConfigState &state, const ConfigRecord &record);

/// Encodes a record or a state for the store and for peers; the decoders return nothing for malformed bytes.
[[nodiscard]] std::string encodeRecord(const ConfigRecord &record);
[[nodiscard]] std::optional<ConfigRecord> decodeRecord(std::string_view bytes);
[[nodiscard]] std::string encodeState(const ConfigState &state);
[[nodiscard]] std::optional<ConfigState> decodeState(std::string_view bytes);

/// Returns the revision of an encoded record without decoding the rest.
[[nodiscard]] std::optional<Revision> peekRevision(std::string_view bytes);

} // namespace ibismast
