#pragma once

#include "ibismast/store/keyvaluestore.h"

#include <map>
#include <vector>

namespace ibismast::harness
{

/// Settings of `FakeStore`.
struct FakeStoreSettings
{
    /// Time from a call to its effect, and again from the effect to the answer.
    Duration oneWay = std::chrono::milliseconds(1);
    double readsPerSecond = 2'000.0;
    double writesPerSecond = 400.0;
    std::size_t largestValue = 1'048'576;
};

/// Key-value service in virtual time, with faults. Calls beyond the rate limits are answered with a failure.
class FakeStore : public KeyValueStore
{
public:
    explicit FakeStore(const FakeStoreSettings &settings = {});

    void submit(const StoreCall &call, TimePoint now) override;
    [[nodiscard]] StoreAnswers takeAnswers(TimePoint now) override;
    /// Returns the time of the next effect or answer, if one is scheduled.
    [[nodiscard]] std::optional<TimePoint> nextEvent() const;

    /// While it is down, calls fail at once without effect and watches end.
    void setDown(bool down);
    /// Adds @p delay to both directions of each later call.
    void setSlowness(Duration delay);
    /// The next @p count writes take effect, but are answered with a failure.
    void loseAnswersAfterEffect(int count);
    /// The next write is answered with a failure at once and takes effect after @p delay.
    void delayNextEffect(Duration delay);
    /// The next @p count watch notifications are dropped.
    void dropWatchEvents(int count);
    /// Ends the lease and deletes its keys.
    void lapseLease(StoreLeaseId lease);

    [[nodiscard]] const std::map<std::string, StoreEntry> &entries() const;
    [[nodiscard]] std::int64_t reads() const;
    [[nodiscard]] std::int64_t writes() const;
    [[nodiscard]] std::int64_t refusals() const;
    [[nodiscard]] std::size_t largestValueWritten() const;

private:
    struct Lease
    {
        Duration timeToLive {};
        TimePoint end {};
    };
    struct Watch
    {
        StoreCallId id;
        std::string key;
        std::string rangeEnd;
    };
    struct Effect
    {
        StoreCall call;
        bool answered = true;
        bool loseAnswer = false;
    };
    struct Usage
    {
        std::int64_t second = 0;
        double calls = 0;
    };

    [[nodiscard]] bool withinLimit(bool write, TimePoint now);
    void apply(const Effect &effect, TimePoint now);
    StoreOutcome perform(const StoreOperation &operation, TimePoint now);
    StoreTransactionResult transact(const StoreTransactionCall &call);
    [[nodiscard]] std::vector<StoreEntry>
    range(const std::string &key, const std::string &end, std::int64_t limit) const;
    void notify(const std::vector<StoreEntry> &puts, const std::vector<StoreEntry> &deletes, TimePoint now);
    void startWatch(const StoreCall &call, const StoreWatch &watch, TimePoint now);
    void expireLeases(TimePoint now);
    void answerAt(TimePoint time, StoreCallId id, StoreOutcome outcome);

    FakeStoreSettings m_settings;
    std::map<std::string, StoreEntry> m_entries;
    std::map<StoreLeaseId, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::multimap<TimePoint, Effect> m_effects;
    std::multimap<TimePoint, StoreAnswer> m_answers;
    StoreRevision m_revision {1};
    std::int64_t m_lastLease = 0;
    TimePoint m_now {};
    bool m_down = false;
    Duration m_slowness {};
    int m_lostAnswers = 0;
    std::optional<Duration> m_effectDelay;
    int m_droppedEvents = 0;
    Usage m_readUsage;
    Usage m_writeUsage;
    std::int64_t m_reads = 0;
    std::int64_t m_writes = 0;
    std::int64_t m_refusals = 0;
    std::size_t m_largestValueWritten = 0;
};

} // namespace ibismast::harness
