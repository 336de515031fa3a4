#pragma once

#include "ibismast/relay/cellview.h"
#include "ibismast/relay/memberview.h"
#include "ibismast/relay/platformrecords.h"
#include "ibismast/relay/relaycore.h"

namespace ibismast
{

/// One datagram from an entry to another.
struct EntryNews
{
    EntryMember sender;
    EntryRecordStatus knowledge;
    /// Some of the other entries that the sender hears.
    std::vector<std::string> heard;
    /// Load of the engines in the sender's failure domain; set in heartbeats to entries of other domains.
    std::optional<DomainLoad> domainLoad;
    std::int64_t listRevision = 0;
    LoadUpdate load;
    QuarantineUpdate quarantine;
};

/// Encodes @p news in Thrift's compact protocol.
[[nodiscard]] std::string encodeEntryNews(const EntryNews &news);
/// Decodes a datagram. Fails with `ProtocolError`.
[[nodiscard]] Result<EntryNews> decodeEntryNews(std::string_view bytes);

/// Encodes @p copy in Thrift's compact protocol.
[[nodiscard]] std::string encodeRecordCopy(const RecordCopy &copy);
/// Decodes a copy of the platform's records. Fails with `ProtocolError`.
[[nodiscard]] Result<RecordCopy> decodeRecordCopy(std::string_view bytes);

} // namespace ibismast
