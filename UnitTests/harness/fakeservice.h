#pragma once

#include "ibismast/core/upstreammessages.h"

#include <map>

namespace ibismast::harness
{

/// Plain service whose calls must not be repeated; the body names the logical call and is echoed.
class FakeService
{
public:
    /// Executes @p call and returns its reply.
    ServiceReply run(const ServiceInvoke &call)
    {
        ++m_runs[*call.body];
        return ServiceReply {call.operation, 200, call.contentType, call.body};
    }

    /// Executions of each logical call.
    [[nodiscard]] const std::map<std::string, int> &runs() const
    {
        return m_runs;
    }

private:
    std::map<std::string, int> m_runs;
};

} // namespace ibismast::harness
