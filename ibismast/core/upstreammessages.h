#pragma once

#include "ibismast/core/messages.h"

/// Messages between an agent and the upstream beside it.
namespace ibismast
{

/// Starts an attempt on the engine.
struct EngineSubmit
{
    AttemptId attempt;
    ModelName model;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /// Larger values run first.
    int priority = 0;
    std::uint64_t resumeFrom = 0;
    std::string resumeText;
    bool chat = false;
    SharedBody body;
    std::optional<GroupSegment> group;
    /// Hashes of the prompt's leading blocks as in `DispatchRequest`, for the engine's prefix cache.
    std::vector<std::uint64_t> prefixHashes;
};

/// Changes the priority of a running attempt.
struct EnginePrioritise
{
    AttemptId attempt;
    int priority = 0;
};

/// Stops an attempt and frees its memory.
struct EngineCancel
{
    AttemptId attempt;
};

/// Asks for the attempts that the engine holds memory for.
struct EngineListHeld
{
};

/// Fenced order to load or unload a model or to change role.
struct EngineOrder
{
    UpstreamOrder order;
};

/// Any command to the engine.
using EngineCommand = std::variant<EngineSubmit, EnginePrioritise, EngineCancel, EngineListHeld, EngineOrder>;

/// Tokens that the engine generated.
struct EngineTokens
{
    AttemptId attempt;
    std::uint64_t firstSequence = 0;
    std::vector<std::string> tokens;
};

/// The attempt ended normally.
struct EngineFinished
{
    AttemptId attempt;
    /// Number of tokens of the whole answer, resumed tokens included.
    std::uint64_t tokenCount = 0;
    std::string finishReason;
};

/// The segment of a group is prefilled and exported.
struct EngineSegmentExported
{
    AttemptId attempt;
    std::string handle;
};

/// The attempt failed or was refused by the engine.
struct EngineFailed
{
    AttemptId attempt;
    Error error;
    bool mayHaveStarted = true;
};

/// The engine dropped the attempt after `EngineCancel`.
struct EngineCancelled
{
    AttemptId attempt;
};

/// Attempts that the engine holds memory for.
struct EngineHeld
{
    std::vector<AttemptId> attempts;
};

/// Load as the engine publishes it, with a lag.
struct EngineLoad
{
    Tokens usedMemory;
    Tokens memoryCapacity;
    std::vector<ModelName> models;
    double prefillRate = 0.0;
    double decodeRate = 0.0;
};

/// Prefix blocks that entered or left the engine's cache. Events may be late or lost.
struct EngineCacheEvent
{
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/// Answer to `EngineOrder`.
struct EngineOrderResult
{
    std::uint64_t call = 0;
    std::optional<Error> error;
};

/// The engine became reachable; it may be a new run that holds nothing.
struct EngineUp
{
};

/// The engine is unreachable; the state of its attempts is unknown.
struct EngineDown
{
};

/// Any event of the engine.
using EngineEvent = std::variant<EngineTokens,
                                 EngineFinished,
                                 EngineSegmentExported,
                                 EngineFailed,
                                 EngineCancelled,
                                 EngineHeld,
                                 EngineLoad,
                                 EngineCacheEvent,
                                 EngineOrderResult,
                                 EngineUp,
                                 EngineDown>;

/// Invokes a call on the plain service beside the agent.
struct ServiceInvoke
{
    OperationId operation;
    CustomerId customer;
    std::string method;
    std::string path;
    std::string contentType;
    SharedBody body;
    Duration timeLeft {};
};

/// The plain service answered.
struct ServiceReply
{
    OperationId operation;
    int httpStatus = 0;
    std::string contentType;
    SharedBody body;
};

/// The plain service gave no answer.
struct ServiceFailure
{
    OperationId operation;
    Error error;
    /// False only if the request never left this process.
    bool mayHaveRun = true;
};

/// Any event of the plain service.
using ServiceEvent = std::variant<ServiceReply, ServiceFailure>;

} // namespace ibismast
