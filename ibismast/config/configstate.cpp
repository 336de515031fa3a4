#include "ibismast/config/configstate.h"

#include "ibismast/config/fieldcodec.h"

#include <cassert>

namespace ibismast
{

namespace
{

// First field of an encoded state; a later format gets another number.
constexpr std::int64_t StateFormat = 1;

void writeValues(FieldWriter &writer, const ObjectValues &values)
{
    writer.number(static_cast<std::int64_t>(values.size()));
    for (const auto &[key, value] : values) {
        writer.text(key).text(value);
    }
}

ObjectValues readValues(FieldReader &reader)
{
    ObjectValues values;
    for (std::size_t left = reader.count(); left > 0; --left) {
        std::string key = reader.text();
        values[std::move(key)] = reader.text();
    }
    return values;
}

void writeSide(FieldWriter &writer, const std::optional<ObjectValues> &side)
{
    writer.number(side ? 1 : 0);
    if (side) {
        writeValues(writer, *side);
    }
}

std::optional<ObjectValues> readSide(FieldReader &reader)
{
    return reader.number() == 0 ? std::nullopt : std::optional(readValues(reader));
}

} // namespace

void applyRecord(ConfigState &state, const ConfigRecord &record)
{
    assert(record.revision == state.revision + Revision(1));
    for (const ConfigEdit &edit : record.edits) {
        if (edit.after) {
            state.objects[edit.object] = {*edit.after, record.revision};
        } else {
            state.objects.erase(edit.object);
        }
    }
    state.revision = record.revision;
}

void undoRecord(ConfigState &state, const ConfigRecord &record)
{
    assert(record.revision == state.revision);
    for (const ConfigEdit &edit : record.edits) {
        if (edit.before) {
            state.objects[edit.object] = {*edit.before, Revision()};
        } else {
            state.objects.erase(edit.object);
        }
    }
    state.revision -= Revision(1);
}

std::string encodeRecord(const ConfigRecord &record)
{
    FieldWriter writer;
    writer.number(record.revision.value()).text(record.changeId).text(record.author).text(record.reason);
    writer.number(record.time.value()).number(static_cast<std::int64_t>(record.edits.size()));
    for (const ConfigEdit &edit : record.edits) {
        writer.text(edit.object);
        writeSide(writer, edit.before);
        writeSide(writer, edit.after);
    }
    return writer.take();
}

std::optional<ConfigRecord> decodeRecord(std::string_view bytes)
{
    FieldReader reader(bytes);
    ConfigRecord record;
    record.revision = Revision(reader.number());
    record.changeId = reader.text();
    record.author = reader.text();
    record.reason = reader.text();
    record.time = WallTime(reader.number());
    for (std::size_t left = reader.count(); left > 0; --left) {
        ConfigEdit edit;
        edit.object = reader.text();
        edit.before = readSide(reader);
        edit.after = readSide(reader);
        record.edits.push_back(std::move(edit));
    }
    if (!reader.ok() || !reader.atEnd()) {
        return std::nullopt;
    }
    return record;
}

std::string encodeState(const ConfigState &state)
{
    FieldWriter writer;
    writer.number(StateFormat).number(state.revision.value());
    writer.number(static_cast<std::int64_t>(state.objects.size()));
    for (const auto &[name, object] : state.objects) {
        writer.text(name).number(object.version.value());
        writeValues(writer, object.values);
    }
    return writer.take();
}

std::optional<ConfigState> decodeState(std::string_view bytes)
{
    FieldReader reader(bytes);
    if (reader.number() != StateFormat) {
        return std::nullopt;
    }
    ConfigState state;
    state.revision = Revision(reader.number());
    for (std::size_t left = reader.count(); left > 0; --left) {
        std::string name = reader.text();
        ConfigObject object;
        object.version = Revision(reader.number());
        object.values = readValues(reader);
        state.objects.emplace(std::move(name), std::move(object));
    }
    if (!reader.ok() || !reader.atEnd()) {
        return std::nullopt;
    }
    return state;
}

std::optional<Revision> peekRevision(std::string_view bytes)
{
    FieldReader reader(bytes);
    const Revision revision(reader.number());
    return reader.ok() ? std::optional(revision) : std::nullopt;
}

} // namespace ibismast
