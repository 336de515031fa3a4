#include "adapters/operatordriver.h"

#include "adapters/configdriver.h"
#include "adapters/plumbing/processclock.h"
#include "adapters/storecallranges.h"
#include "adapters/storeclient.h"

namespace ibismast
{

namespace
{

// The service's pauses and time limits are hundreds of milliseconds or more.
constexpr std::chrono::milliseconds TickInterval(50);

WallTime wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

OperatorDriver::OperatorDriver(const OperatorServiceSettings &settings,
                               const std::string &writer,
                               ConfigDriver &config,
                               StoreClient &store,
                               EventListener *listener)
    : m_config(config)
    , m_store(store)
    , m_ids(StoreCallRanges::Operators)
    , m_service(settings, writer, config.replica(), config.relay(), m_ids)
{
    m_service.setListener(listener);
    m_store.setHandler(StoreCallRanges::Operators, [this](const StoreAnswer &storeAnswer) {
        feed([this, &storeAnswer](TimePoint now, StoreCalls &out) {
            m_service.handle(storeAnswer, now, out);
        });
    });
    m_timer.callOnTimeout(this, [this] {
        feed([this](TimePoint now, StoreCalls &out) {
            m_service.tick(now, out);
        });
    });
    m_answerTimer.setSingleShot(true);
    m_answerTimer.callOnTimeout(this, [this] {
        answer();
    });
}

OperatorDriver::~OperatorDriver()
{
    m_store.setHandler(StoreCallRanges::Operators, [](const StoreAnswer &) {});
}

void OperatorDriver::start()
{
    m_timer.start(TickInterval);
}

void OperatorDriver::stop()
{
    m_timer.stop();
}

void OperatorDriver::call(const OperatorIdentity &who, OperatorRequest request, ReplyHandler handler)
{
    feed([&](TimePoint now, StoreCalls &out) {
        const OperatorCallId id = m_service.call(who, std::move(request), wallNow(), now, out);
        m_handlers[id] = std::move(handler);
    });
}

std::size_t OperatorDriver::openCalls() const
{
    return m_handlers.size();
}

bool OperatorDriver::busy() const
{
    return m_service.busy();
}

void OperatorDriver::feed(const std::function<void(TimePoint now, StoreCalls &out)> &input)
{
    m_service.setStoreAvailable(!m_store.suspectsOutage());
    StoreCalls calls;
    input(processNow(), calls);
    for (const StoreCall &call : calls) {
        m_store.execute(call);
    }
    // An accepted change is in the replica already; peers and the indexes of this process need it too.
    m_config.replicaChanged();
    m_answerTimer.start(std::chrono::milliseconds(0));
}

void OperatorDriver::answer()
{
    for (const OperatorAnswer &result : m_service.takeAnswers()) {
        if (const auto handler = m_handlers.extract(result.id); !handler.empty()) {
            handler.mapped()(result.reply);
        }
    }
}

} // namespace ibismast
