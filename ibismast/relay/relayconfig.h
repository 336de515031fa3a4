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

/// Version of the relay configuration; a larger one is newer.
using RelayConfigVersion = StrongInteger<struct RelayConfigVersionTag>;

/// Urgency of a call as configured; 0 is the most urgent.
using CallPriority = StrongInteger<struct CallPriorityTag>;

/// Priority of calls for which the configuration names none.
inline constexpr CallPriority DefaultCallPriority {5};

/// Number of requests in a second.
struct RequestRate
{
    double perSecond = 0.0;

    auto operator<=>(const RequestRate &) const = default;
};

/// How often the calls of a route may be executed, and whether their response is an event stream.
enum class CallKind : std::uint8_t {
    /// May be executed any number of times.
    Idempotent,
    /// Must not be executed more than once; retried only if no upstream can have executed it.
    AtMostOnce,
    /// Event stream that must not be executed more than once.
    Stream,
    /// Event stream that another upstream can resume after the last event that was delivered.
    ResumableStream,
};

/// Fraction of a route's calls that is sent to one service.
struct RouteShare
{
    ServiceName service;
    /// Weight relative to the sum of the weights of all shares of the route.
    std::int64_t weight = 1;
};

/// Route for calls whose bodies are forwarded without being parsed.
struct RelayRoute
{
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    std::vector<RouteShare> shares;
    CallKind kind = CallKind::AtMostOnce;
    /// Maximum time from the arrival of a call to the end of its response.
    Duration timeout = std::chrono::seconds(10);
    /// Latency objective: target time to the response, or to the first event of a stream.
    Duration objective = std::chrono::milliseconds(300);
    /// Target for the longest pause between two events of a stream.
    Duration pauseTarget = std::chrono::milliseconds(250);
    /// Maximum number of upstreams that one call may be sent to, the first attempt included.
    int maxAttempts = 1;
    /// True if calls need no API key.
    bool isPublic = false;
    /// Priority of the calls of customers that have none of their own.
    CallPriority priority = DefaultCallPriority;
};

/// Capacity and performance of the model engines of a service, as declared in the configuration.
struct EngineProfile
{
    /// Maximum number of streams that the engine decodes concurrently.
    int slots = 1;
    /// Capacity of the KV cache.
    Tokens memory;
    /// Decode steps in one pass of the engine, each of which adds one token to a stream. An event holds the tokens of
    /// one pass.
    int tokensPerPass = 1;
    /// Base time of one decode step in ms.
    double stepMs = 1.0;
    /// Additional time of a decode step for each stream in the batch, in ms.
    double stepPerSequenceMs = 0.0;
    /// Additional time of a decode step for each 1,000 tokens of context in the batch, in ms.
    double stepPerContextMs = 0.0;
    /// Prefill rate without the attention cost below.
    double prefillTokensPerSecond = 100'000.0;
    /// Attention cost of prefill: time for each million pairs of a prompt token and an earlier one, in ms.
    double prefillMsPerMillionPairs = 0.0;
    /// Additional time of a decode step for each other engine that holds a part of the prompt's KV cache, in ms.
    double stepPerHolderMs = 0.0;
    /// Typical number of output tokens of a request.
    double typicalOutputTokens = 1000.0;
    /// Typical number of prompt tokens of a request; 0 if it is not declared.
    double typicalPromptTokens = 0.0;
};

/// Service that routes send calls to.
struct RelayService
{
    ServiceName name;
    /// Connections that one upstream accepts in total, from all its clients.
    int maxConnections = 64;
    /// Set if the upstreams of the service are model engines.
    std::optional<EngineProfile> engine;
    /// Time for which an upstream is cold after its start, and requests in a second that it takes meanwhile from all
    /// entries together; zero if the service declares none.
    Duration coldTime {};
    RequestRate coldRate {};
};

/// Customer with its API keys.
struct RelayCustomer
{
    CustomerId name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; empty if the customer has none.
    std::optional<CallPriority> priority {};
};

/// Limits on the size of requests and on the time that callers take to send them.
struct RelayLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t {4} * 1024 * 1024;
    /// Time for receiving a request head.
    Duration headTimeout = std::chrono::seconds(3);
    /// Maximum idle time of a connection between requests. A whole request must arrive within the sum of both timeouts.
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the relay configuration.
struct RelayConfig
{
    RelayConfigVersion version;
    std::vector<RelayRoute> routes;
    std::map<ServiceName, RelayService> services;
    /// Customers whose keys admit calls to the routes that are not public; no call is admitted there if the list is
    /// empty. Without a list, calls need no key.
    std::optional<std::vector<RelayCustomer>> customers;
    RelayLimits limits;
};

} // namespace ibismast
