#pragma once

#include "ibismast/core/messages.h"

#include <map>
#include <set>

namespace ibismast::harness
{

/// How a request ended for its caller.
enum class Ending {
    Open,
    Answer,
    ServiceReply,
    Failure,
    /// The entry died or the caller left; the caller saw its connection end.
    ConnectionLost,
};

/// What one caller asked for and saw.
struct CallerRecord
{
    RequestId request;
    InstanceId entry;
    bool isService = false;
    TimePoint submitted;
    TimePoint deadline;
    std::vector<std::string> expectedTokens;
    std::vector<std::string> tokens;
    Ending ending = Ending::Open;
    TimePoint ended;
    int finals = 0;
    Tokens reportedTokens;
    Error error;
    /// Identifies the call of a plain service across retries of the caller.
    std::string logicalCall;
    /// Body of the service's reply.
    std::string reply;
    /// True if a caller can expect success although faults occur: only planned stops happen in the run.
    bool mustSucceed = false;
};

/// KV memory and open work that is left when everything has ended.
struct Residue
{
    InstanceId instance;
    Tokens engineMemory;
    Tokens reservedMemory;
    std::size_t openWork = 0;
};

/// Everything that the invariants of one run are checked against.
struct RunRecord
{
    std::vector<CallerRecord> callers;
    /// Requests for which an upstream received a start command.
    std::set<RequestId> startedRequests;
    /// Executions of each logical service call.
    std::map<std::string, int> serviceRuns;
    std::vector<Residue> residues;
    /// First leaving signal of each upstream.
    std::map<InstanceId, TimePoint> leavingSince;
    /// Start commands: upstream, request and time of the first start on that upstream.
    std::vector<std::pair<InstanceId, TimePoint>> starts;
    TimePoint end;
};

} // namespace ibismast::harness
