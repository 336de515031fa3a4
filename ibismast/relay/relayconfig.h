#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibismast
{

/// Version of the operators' configuration; a larger one is newer.
using RelayConfigVersion = StrongInteger<struct RelayConfigVersionTag>;

/// What may be repeated of a relayed call.
enum class CallKind : std::uint8_t {
    /// Runs any number of times.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Event stream that runs at most once.
    Stream,
    /// Event stream that another upstream may continue behind the last event.
    ResumableStream,
};

/// Share of a route's calls that goes to one service.
struct RouteShare
{
    ServiceName service;
    /// Relative weight; the shares of a route need not add up to a given sum.
    std::int64_t weight = 1;
};

/// Route of calls with opaque bodies.
struct RelayRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<RouteShare> shares;
    CallKind kind = CallKind::AtMostOnce;
    /// Longest time from the arrival of a call to its end.
    Duration timeout = std::chrono::seconds(10);
    /// Time to the answer, or to the first event of a stream, within which the answer is worth most.
    Duration objective = std::chrono::milliseconds(300);
    /// Longest pause between two events of a stream that is on time.
    Duration pauseTarget = std::chrono::milliseconds(250);
    /// Largest number of upstreams that one call may be sent to.
    int maxAttempts = 1;
    /// True if calls need no key.
    bool isPublic = false;
};

/// Costs of one model engine, as the operators declare them.
struct EngineProfile
{
    /// Streams that the engine writes at once.
    int slots = 1;
    /// KV memory of the engine.
    Tokens memory;
    /// Token steps in one pass that writes; an event holds the tokens of one pass.
    int tokensPerPass = 1;
    /// Time of one token step in ms.
    double stepMs = 1.0;
    /// Additional time of a step for each stream that is written, in ms.
    double stepPerSequenceMs = 0.0;
    /// Additional time of a step for 1,000 tokens of context of the streams that are written, in ms.
    double stepPerContextMs = 0.0;
    /// Prompt tokens read in a second.
    double prefillTokensPerSecond = 100'000.0;
    /// Reading time of a million pairs of a token and an earlier one, in ms.
    double prefillMsPerMillionPairs = 0.0;
    /// Additional time of a step for each engine that holds a part of the prompt, in ms.
    double stepPerHolderMs = 0.0;
    /// Usual number of output tokens of a request.
    double typicalOutputTokens = 1000.0;
};

/// Service that routes lead to.
struct RelayService
{
    ServiceName name;
    /// Connections that one upstream accepts from all callers together.
    int maxConnections = 64;
    /// Set for model engines.
    std::optional<EngineProfile> engine;
};

/// Customer with the keys of its callers.
struct RelayCustomer
{
    CustomerId name;
    std::vector<std::string> keys;
};

/// Limits on what a caller may send and how long it may take.
struct RelayLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t {4} * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Configuration of the relay: what the operators have declared in one version.
struct RelayConfig
{
    RelayConfigVersion version;
    std::vector<RelayRoute> routes;
    std::map<ServiceName, RelayService> services;
    std::vector<RelayCustomer> customers;
    RelayLimits limits;
};

} // namespace ibismast
