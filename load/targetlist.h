#pragma once

#include "ibismast/core/units.h"

#include <string>
#include <vector>

namespace ibismast::load
{

/// Entries in turn; those that refused a connection are passed over for a while.
class TargetList
{
public:
    explicit TargetList(std::vector<std::string> addresses);

    /// Returns the index of the next target at @p now.
    [[nodiscard]] std::size_t next(TimePoint now);
    /// Notes that target @p index could not be reached at @p now.
    void markUnreachable(std::size_t index, TimePoint now);
    [[nodiscard]] const std::string &address(std::size_t index) const;

private:
    struct Target
    {
        std::string address;
        TimePoint avoidUntil;
    };

    std::vector<Target> m_targets;
    std::size_t m_next = 0;
};

} // namespace ibismast::load
