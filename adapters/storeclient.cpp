#include "adapters/storeclient.h"

#include "adapters/plumbing/processclock.h"

namespace ibismast
{

StoreClient::StoreClient(const StoreClientSettings &settings, std::uint64_t seed)
    : m_gate(settings.gate, seed), m_client(settings.gateway, seed + 1, [this](const StoreAnswer &answer) {
        answered(answer);
    })
{
    m_timer.setSingleShot(true);
    m_timer.callOnTimeout(this, [this] {
        run();
    });
}

void StoreClient::setHandler(std::uint16_t range, AnswerHandler handler)
{
    m_handlers[range] = std::move(handler);
}

void StoreClient::execute(const StoreCall &call)
{
    m_gate.submit(call, processNow());
    m_timer.start(std::chrono::milliseconds(0));
}

bool StoreClient::suspectsOutage() const
{
    return m_gate.suspectsOutage();
}

void StoreClient::answered(const StoreAnswer &answer)
{
    if (m_gate.accept(answer, processNow())) {
        passOn(answer);
    }
    schedule();
}

void StoreClient::passOn(const StoreAnswer &answer)
{
    const auto handler = m_handlers.find(storeCallRange(answer.id));
    if (handler != m_handlers.end()) {
        handler->second(answer);
    }
}

void StoreClient::run()
{
    StoreCalls calls;
    StoreAnswers failures;
    m_gate.tick(processNow(), calls, failures);
    for (const StoreCall &call : calls) {
        m_client.execute(call);
    }
    for (const StoreAnswer &failure : failures) {
        passOn(failure);
    }
    schedule();
}

void StoreClient::schedule()
{
    const TimePoint now = processNow();
    if (const std::optional<TimePoint> next = m_gate.nextTick(now)) {
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(std::max(*next - now, Duration::zero())));
    }
}

} // namespace ibismast
