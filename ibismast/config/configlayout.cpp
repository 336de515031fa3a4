#include "ibismast/config/configlayout.h"

#include "ibismast/config/fieldcodec.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// First field of an encoded head; a later format gets another number.
constexpr std::int64_t HeadFormat = 1;
// Digits of the largest 64-bit number, so that keys sort by number.
constexpr std::size_t RevisionDigits = 19;
constexpr std::size_t PartDigits = 4;

std::string padded(std::int64_t value, std::size_t width)
{
    const std::string digits = std::to_string(value);
    return std::string(width > digits.size() ? width - digits.size() : 0, '0') + digits;
}

} // namespace

std::optional<Revision> ConfigHead::findChange(std::string_view changeId) const
{
    const auto found = std::ranges::find(recent, changeId, &std::pair<Revision, std::string>::second);
    return found == recent.end() ? std::nullopt : std::optional(found->first);
}

std::optional<Revision> ConfigHead::segmentOf(Revision wanted) const
{
    const auto after = std::ranges::upper_bound(segments, wanted);
    return after == segments.begin() || wanted > revision ? std::nullopt : std::optional(*std::prev(after));
}

std::string configSegmentKey(Revision first)
{
    return "config/log/" + padded(first.value(), RevisionDigits);
}

std::string configSnapshotKey(Revision revision, std::int64_t part)
{
    return "config/snapshot/" + padded(revision.value(), RevisionDigits) + '/' + padded(part, PartDigits);
}

std::string encodeHead(const ConfigHead &head)
{
    FieldWriter writer;
    writer.number(HeadFormat).number(head.revision.value()).number(head.snapshot.value()).number(head.snapshotParts);
    writer.number(static_cast<std::int64_t>(head.segments.size()));
    for (const Revision first : head.segments) {
        writer.number(first.value());
    }
    writer.number(static_cast<std::int64_t>(head.recent.size()));
    for (const auto &[revision, changeId] : head.recent) {
        writer.number(revision.value()).text(changeId);
    }
    return writer.take();
}

std::optional<ConfigHead> decodeHead(std::string_view bytes)
{
    FieldReader reader(bytes);
    if (reader.number() != HeadFormat) {
        return std::nullopt;
    }
    ConfigHead head;
    head.revision = Revision(reader.number());
    head.snapshot = Revision(reader.number());
    head.snapshotParts = reader.number();
    for (std::size_t left = reader.count(); left > 0; --left) {
        head.segments.emplace_back(reader.number());
    }
    for (std::size_t left = reader.count(); left > 0; --left) {
        const Revision revision(reader.number());
        head.recent.emplace_back(revision, reader.text());
    }
    if (!reader.ok() || !reader.atEnd()) {
        return std::nullopt;
    }
    return head;
}

void appendToSegment(std::string &segment, std::string_view record)
{
    segment += FieldWriter().text(record).take();
}

std::optional<std::vector<std::string>> splitSegment(std::string_view segment)
{
    std::vector<std::string> records;
    FieldReader reader(segment);
    while (reader.ok() && !reader.atEnd()) {
        records.push_back(reader.text());
    }
    return reader.ok() ? std::optional(std::move(records)) : std::nullopt;
}

} // namespace ibismast
