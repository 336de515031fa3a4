#pragma once

#include "ibismast/entry/entryactions.h"

#include <memory>

namespace ibismast
{

class EventListener;
struct EntryCoreSettings;

/// Request handling of an entry instance without I/O: admission, routing, retries, answers, operation ids, groups and
/// deadlines.
///
/// Deterministic: each call passes the current time and appends the resulting actions to @p out. Each request ends with
/// exactly one `DeliverEnd`, `DeliverServiceReply`, `DeliverOperationId` or `DeliverFailure`, at its deadline at the
/// latest if `tick` is called often enough, or with none of them if the caller disconnects before.
class EntryCore
{
public:
    /// @p self describes this entry, @p seed initializes its random number generator, @p listener may be null.
    EntryCore(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Starts a completion request; a refusal arrives as `DeliverFailure`.
    RequestId submit(CompletionRequest request, TimePoint now, EntryActions &out);
    /// Starts a call of a plain service.
    RequestId callService(ServiceRequest request, TimePoint now, EntryActions &out);
    /// Requests an operation id for a later call of @p service; ends with `DeliverOperationId` or `DeliverFailure`.
    RequestId requestOperationId(const ServiceName &service, Duration timeLeft, TimePoint now, EntryActions &out);
    /// The caller has disconnected: nothing more is delivered. The request is cancelled, except for service calls whose
    /// operation other requests may refer to.
    void callerDisconnected(const RequestId &request, TimePoint now, EntryActions &out);

    /// Handles a message from an agent.
    void handlePeer(const PeerFrame &frame, TimePoint now, EntryActions &out);
    /// Handles a response of the key-value service.
    void handleStore(const StoreAnswer &answer, TimePoint now, EntryActions &out);
    /// The connection to an agent is established.
    void peerConnected(const InstanceId &peer, TimePoint now, EntryActions &out);
    /// The connection to an agent was lost.
    void peerDisconnected(const InstanceId &peer, TimePoint now, EntryActions &out);
    /// The platform's instance list shows the instance as leaving.
    void instanceLeaving(const InstanceId &instance, TimePoint now, EntryActions &out);
    /// Handles everything that is due at @p now: deadlines, retries, claims of idempotency keys, heartbeats.
    void tick(TimePoint now, EntryActions &out);

    /// Refuses new requests from now on and announces the shutdown to all connected agents.
    void beginShutdown(TimePoint now, EntryActions &out);
    /// Number of requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Private;
    // Pointer to the implementation, named `d` by KDE convention.
    std::unique_ptr<Private> d; // NOLINT(readability-identifier-naming)
};

} // namespace ibismast
