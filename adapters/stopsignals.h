#pragma once

#include <QtCore/QSocketNotifier>

#include <functional>

namespace ibismast
{

/// Reports SIGTERM and SIGINT in the event loop. Only one object may exist at a time.
class StopSignals
{
public:
    /// Calls @p handler with the number of signals received so far, beginning with 1.
    explicit StopSignals(std::function<void(int count)> handler);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    StopSignals &operator=(const StopSignals &) = delete;

private:
    std::function<void(int count)> m_handler;
    int m_count = 0;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace ibismast
