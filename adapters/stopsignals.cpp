#include "adapters/stopsignals.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace ibismast
{

namespace
{

std::array<int, 2> signalPipe {-1, -1};

/// Only functions that are safe in a signal handler may be called here, hence the pipe.
void onSignal(int /*number*/)
{
    const char byte = 0;
    [[maybe_unused]] const ssize_t written = write(signalPipe[1], &byte, 1);
}

void install(void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

} // namespace

StopSignals::StopSignals(std::function<void(int count)> handler) : m_handler(std::move(handler))
{
    if (pipe2(signalPipe.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        qFatal("cannot create a pipe for signals");
    }
    m_notifier = std::make_unique<QSocketNotifier>(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] {
        char byte = 0;
        while (read(signalPipe[0], &byte, 1) == 1) {
            m_handler(++m_count);
        }
    });
    install(onSignal);
}

StopSignals::~StopSignals()
{
    install(SIG_DFL);
    m_notifier.reset();
    close(signalPipe[0]);
    close(signalPipe[1]);
}

} // namespace ibismast
