#include "adapters/plumbing/processclock.h"

namespace ibismast
{

TimePoint processNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace ibismast
