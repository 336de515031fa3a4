#pragma once

#include "ibismast/relay/platformrecords.h"

#include <functional>

namespace ibismast
{

/// Reads the platform's records. Each handler is called exactly once; an answer that does not come within the timeout
/// is an error.
class ClusterStore
{
public:
    using UpstreamsHandler = std::function<void(Result<StoredUpstreams> result)>;
    using ConfigHandler = std::function<void(Result<StoredConfig> result)>;

    virtual ~ClusterStore() = default;

    /// Reads the records of all upstreams.
    virtual void readUpstreams(Duration timeout, UpstreamsHandler handler) = 0;
    /// Reads the operators' records.
    virtual void readConfig(Duration timeout, ConfigHandler handler) = 0;
    /// Waits up to @p wait for a change of the operators' records behind @p revision.
    virtual void awaitConfig(std::int64_t revision, Duration wait, Duration timeout, ConfigHandler handler) = 0;
};

} // namespace ibismast
