#pragma once

#include "ibismast/entry/entryactions.h"

#include <memory>

namespace ibismast
{

class EventListener;
struct EntryCoreSettings;

/// Decisions of an entry instance: early refusal, routing, retries, answers, operations, groups, deadlines.
///
/// Deterministic: every call passes the time and appends the resulting actions to @p out. Each request that `submit`
/// or `callService` returned ends with exactly one `DeliverEnd`, `DeliverServiceReply` or `DeliverFailure`, at its
/// deadline at the latest.
class EntryCore
{
public:
    /// @p self describes this entry; @p seed starts its random source; @p listener may be null.
    EntryCore(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Starts a completion request; a refusal arrives as `DeliverFailure`.
    RequestId submit(CompletionRequest request, TimePoint now, EntryActions &out);
    /// Starts a call of a plain service.
    RequestId callService(ServiceRequest request, TimePoint now, EntryActions &out);
    /// Obtains an operation id for a later call of @p service; answered by `DeliverOperationId` or `DeliverFailure`.
    RequestId requestOperationId(const ServiceName &service, Duration timeLeft, TimePoint now, EntryActions &out);
    /// The caller has left; the request is cancelled and delivers nothing more.
    void callerDisconnected(const RequestId &request, TimePoint now, EntryActions &out);

    /// Handles a message of a peer.
    void handlePeer(const PeerFrame &frame, TimePoint now, EntryActions &out);
    /// Handles an answer of the key-value service.
    void handleStore(const StoreAnswer &answer, TimePoint now, EntryActions &out);
    /// The connection to an agent is usable.
    void peerConnected(const InstanceId &peer, TimePoint now, EntryActions &out);
    /// The connection to an agent ended.
    void peerDisconnected(const InstanceId &peer, TimePoint now, EntryActions &out);
    /// The platform's list says that an instance is leaving.
    void instanceLeaving(const InstanceId &instance, TimePoint now, EntryActions &out);
    /// Does what is due at @p now: deadlines, retries, claims, heartbeats.
    void tick(TimePoint now, EntryActions &out);

    /// Refuses new requests from now on.
    void beginShutdown(TimePoint now, EntryActions &out);
    /// Number of requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Private;
    // KDE's name for the pointer to the implementation.
    std::unique_ptr<Private> d; // NOLINT(readability-identifier-naming)
};

} // namespace ibismast
