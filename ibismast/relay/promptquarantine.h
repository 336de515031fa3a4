#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"
#include "ibismast/relay/upstreamrunkey.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibismast
{

/// Returns the ids of @p parts for logs and messages, separated by commas; `none` if there is none.
[[nodiscard]] std::string toText(const std::vector<PromptPartId> &parts);

/// Returns the part that stands for the request as a whole. No other request holds it.
[[nodiscard]] inline PromptPartId ownPart(RequestHash request)
{
    return PromptPartId(request.value());
}

/// True if @p prompt holds all of @p parts.
[[nodiscard]] bool holdsAll(const std::vector<PromptPartId> &prompt, const std::vector<PromptPartId> &parts);

/// Attempt that broke off before the end of its response and before its prompt was known to be sound.
struct BrokenStart
{
    UpstreamRunKey upstream;
    RequestHash request;
    /// Shared parts of the prompt in their order, and the request's own part.
    std::vector<PromptPartId> parts;
    /// Time since the attempt broke off.
    Duration age {};
    /// True if the head of a successful response had arrived, but no event: the upstream was about to write the first
    /// one. Other attempts break off with a crash that another call has caused, too.
    bool atFirstEvent = true;

    bool operator==(const BrokenStart &) const = default;
};

/// Prompt parts that are in quarantine together: prompts that hold all of them are kept from the upstreams.
struct QuarantinedParts
{
    /// In ascending order.
    std::vector<PromptPartId> parts;
    /// Time since an attempt with these parts last broke off at the start of its answer.
    Duration age {};

    bool operator==(const QuarantinedParts &) const = default;
};

/// Prompt part that is held to be sound.
struct SoundPart
{
    PromptPartId part;
    /// Time since an upstream last answered a prompt that holds the part.
    Duration age {};

    bool operator==(const SoundPart &) const = default;
};

/// What an entry tells the other entries about prompt parts.
struct QuarantineUpdate
{
    std::vector<BrokenStart> brokenStarts;
    std::vector<QuarantinedParts> quarantined;
    std::vector<SoundPart> sound;

    [[nodiscard]] bool empty() const
    {
        return brokenStarts.empty() && quarantined.empty() && sound.empty();
    }
};

/// Settings of a `PromptQuarantine`.
struct PromptQuarantineSettings
{
    /// Number of crashes, of calls and of upstreams that the evidence against a part must at least come from, if all
    /// these attempts broke off at their first event.
    std::size_t minCrashes = 3;
    std::size_t minCalls = 2;
    std::size_t minUpstreams = 2;
    /// The same if they broke off at any point before their prompt was known to be sound.
    std::size_t minUnclearCrashes = 5;
    std::size_t minUnclearCalls = 3;
    std::size_t minUnclearUpstreams = 3;
    /// Evidence of attempts that did not break off at their first event is evaluated after this time, all of it at
    /// once: many attempts break off with each crash.
    Duration evaluationDelay = std::chrono::milliseconds(50);
    /// Number of crashes from which on a request is quarantined although another one was at the same upstreams.
    std::size_t decisiveCrashes = 5;
    /// Time that the evidence against a single request must be old, so that the reports of all entries on the same
    /// crash have arrived.
    Duration settleTime = std::chrono::milliseconds(200);
    /// Time after the last crash after which one entry lets a single request, or a prompt with quarantined parts,
    /// through once. This shows whether they were only near to the crashes.
    Duration testDelay = std::chrono::seconds(5);
    /// Number of entries that may test quarantined parts, each `testDelay` after the one before it if that has not.
    std::size_t maxTesters = 2;
    /// Broken starts within this time count as one crash: a lost network path breaks many connections at once.
    Duration crashSpacing = std::chrono::milliseconds(100);
    /// The same for the broken starts of a single request, whose attempts follow each other.
    Duration requestCrashSpacing = std::chrono::milliseconds(10);
    /// Time for which a part stays in quarantine after its last broken start, and for which broken starts are kept.
    Duration quarantineTime = std::chrono::minutes(10);
    /// Time after its quarantine within which one more broken start is enough to quarantine a part again.
    Duration relapseTime = std::chrono::hours(24);
    /// Time for which other entries are told of a broken start and of an answer, in case a message is lost.
    Duration reportTime = std::chrono::seconds(5);
    /// Maximum number of broken starts, of quarantines and of sound parts that are kept. Of quarantines, it must be
    /// larger than what the broken starts can be evidence for.
    std::size_t maxBrokenStarts = 256;
    std::size_t maxQuarantined = 256;
    std::size_t maxSound = 8192;
    /// Maximum number of items of one kind in a report to another entry, and of parts in a broken start.
    std::size_t maxReported = 32;
    std::size_t maxParts = 16;
};

/// Finds prompt parts and requests that crash upstreams, from the broken starts of all entries, and keeps prompts with
/// such a part, and such requests when they are sent again, from the upstreams.
///
/// A part is quarantined if several crashes have it in common and no upstream has answered a prompt that holds it
/// since. Sound prompts break off with the crashes of others, so parts that cannot be told apart, since each of these
/// crashes broke a prompt that holds all of them, are quarantined together. An answer to a prompt with one of them then
/// shows that the others are the cause.
///
/// A request counts as a part of its own, see `ownPart`. It is quarantined if it was at several upstreams when they
/// crashed, no upstream has answered it since, and no other request was at all of these upstreams too.
///
/// An upstream may crash before it has sent anything, at the first event or behind it, and sound requests break off
/// with it at any of these points. Attempts that broke off at their first event are the stronger evidence: a part needs
/// fewer of them, and a request is not the cause of a crash at which only others did.
class PromptQuarantine
{
public:
    PromptQuarantine(const PromptQuarantineSettings &settings, EventListener &listener);

    /// Records that an attempt to send @p request, whose prompt holds @p parts, broke off. For @p atFirstEvent see
    /// `BrokenStart`.
    void noteBrokenStart(UpstreamRunKey upstream,
                         RequestHash request,
                         const std::vector<PromptPartId> &parts,
                         bool atFirstEvent,
                         TimePoint now);
    /// Records that an upstream has answered @p request, whose prompt holds @p parts, or has gone on writing the answer
    /// for so long that the prompt does not crash it.
    void noteSound(RequestHash request, const std::vector<PromptPartId> &parts, TimePoint now);

    /// Quarantine that applies to a prompt, and its remaining time.
    struct Hit
    {
        std::vector<PromptPartId> parts;
        Duration left {};
        /// Time of the last crash.
        TimePoint lastBroken;
    };
    /// Returns the quarantine that applies to @p request, whose prompt holds @p parts; empty if there is none.
    [[nodiscard]] std::optional<Hit>
    find(RequestHash request, const std::vector<PromptPartId> &parts, TimePoint now) const;
    /// Returns true if the quarantine @p hit may be tested by letting @p request, whose prompt holds @p parts, through,
    /// and counts the test. A quarantine of a single request is tested once, by the entry that has seen the crash that
    /// began it. One of parts is tested by the entries that have seen its crashes, in turns until one has done so, with
    /// a prompt whose other parts have been answered.
    [[nodiscard]] bool
    takeTest(RequestHash request, const std::vector<PromptPartId> &parts, const Hit &hit, TimePoint now);

    /// Applies what another entry has reported.
    void apply(const QuarantineUpdate &update, TimePoint now);
    /// Returns what the other entries must learn at once, and clears it.
    [[nodiscard]] QuarantineUpdate takeUpdate();
    /// Returns what each heartbeat repeats, of a large number of quarantines other ones with each call.
    [[nodiscard]] QuarantineUpdate summary(TimePoint now);
    /// Evaluates evidence that has become old enough, and drops what is too old to matter.
    void expire(TimePoint now);
    /// Number of quarantines in force.
    [[nodiscard]] std::size_t size(TimePoint now) const;

private:
    struct Evidence
    {
        UpstreamRunKey upstream;
        RequestHash request;
        std::vector<PromptPartId> parts;
        TimePoint at;
        bool atFirstEvent = true;
        /// True if this entry has sent the attempt.
        bool local = false;
    };
    /// Parts of a quarantine, in ascending order.
    using PartSet = std::vector<PromptPartId>;
    struct Quarantine
    {
        /// Time at which an attempt with the parts last broke off.
        TimePoint lastBroken;
        /// Time at which the entry learned of it.
        TimePoint since;
        /// True if this entry may not test it, or has done so.
        bool tested = false;
    };
    struct CrashCount;
    struct Suspicion;

    /// Adds @p evidence unless it is known. Returns true if it is new.
    bool addEvidence(Evidence evidence);
    /// Counts a test of the quarantine of @p hit with a prompt that holds @p parts; false if there may be none.
    bool takePartTest(const std::vector<PromptPartId> &parts, const Hit &hit, TimePoint now);
    /// Returns how many entries may test the quarantine of @p parts before this one; empty if this one may not. All
    /// entries that know the same crashes agree on the order.
    [[nodiscard]] std::optional<std::size_t> testersBefore(const PartSet &parts) const;
    /// True if a crash later than the first possible test speaks against the parts of @p quarantine.
    [[nodiscard]] bool isConfirmed(const Quarantine &quarantine) const;
    /// Quarantines the parts that the evidence is sufficient for. Quarantines that began within `reportTime` are
    /// derived again, since the reports of other entries arrive meanwhile.
    void evaluate(TimePoint now);
    /// Quarantines parts for all crashes without an explanation. Those of @p previous are restored, others are new.
    void explainCrashes(const std::map<PartSet, Quarantine> &previous, TimePoint now);
    /// Evaluates the evidence now if @p atFirstEvent is true, otherwise after `evaluationDelay`.
    void evaluateSoon(bool atFirstEvent, TimePoint now);
    /// Returns for each item of the evidence the quarantine that explains it, or null.
    [[nodiscard]] std::vector<const PartSet *> explanations() const;
    /// Upstreams at which an attempt broke off at its first event.
    [[nodiscard]] std::set<UpstreamRunKey> crashedAtFirstEvent() const;
    /// Returns the parts with sufficient evidence that most likely explain crashes without an explanation; several only
    /// if they are requests that were at the same upstreams.
    [[nodiscard]] std::vector<Suspicion> worstSuspicions(const std::vector<const PartSet *> &explainedBy,
                                                         TimePoint now) const;
    /// Returns what speaks against @p part: the evidence that no quarantine of other parts explains.
    [[nodiscard]] Suspicion suspicionOf(PromptPartId part, const std::vector<const PartSet *> &explainedBy) const;
    [[nodiscard]] bool isSufficient(const Suspicion &suspicion, TimePoint now) const;
    /// Returns the parts to quarantine for @p suspicion; empty if they would explain no further crash.
    [[nodiscard]] PartSet causeOf(const Suspicion &suspicion, const std::vector<const PartSet *> &explainedBy) const;
    /// Returns the narrowest set with @p parts that the crashes of these parts have in common. If @p clearOnly is true,
    /// only crashes at which a prompt with @p parts broke off at its first event count.
    [[nodiscard]] PartSet
    narrowed(const PartSet &parts, const std::vector<const PartSet *> &explainedBy, bool clearOnly) const;
    /// True if the attempts that broke off at their first event are sufficient evidence by themselves.
    [[nodiscard]] bool isClear(const Suspicion &suspicion) const;
    /// True if the attempts that broke off at any point are sufficient evidence, of which more is needed.
    [[nodiscard]] bool hasManyCrashes(const Suspicion &suspicion) const;
    /// True if prompts with all of @p parts broke off without an explanation.
    [[nodiscard]] bool explainsMore(const PartSet &parts, const std::vector<const PartSet *> &explainedBy) const;
    /// True if @p evidence speaks against @p part: the prompt holds it, and no answer has shown since that it is sound.
    [[nodiscard]] bool isSuspect(PromptPartId part, const Evidence &evidence) const;
    /// The same for all of @p parts.
    [[nodiscard]] bool areSuspect(const PartSet &parts, const Evidence &evidence) const;
    /// True if an upstream has answered a prompt with @p part after @p at.
    [[nodiscard]] bool answeredSince(PromptPartId part, TimePoint at) const;
    [[nodiscard]] bool isInForce(TimePoint lastBroken, TimePoint now) const;
    void markSound(PromptPartId part, TimePoint at, TimePoint now);
    /// True if an upstream has answered a prompt with @p part at any time that is remembered.
    [[nodiscard]] bool wasAnswered(PromptPartId part) const;
    /// True if evidence or a quarantine speaks against @p part.
    [[nodiscard]] bool isSuspect(PromptPartId part) const;
    /// Records that attempts with @p parts last broke off at @p lastBroken, and logs a quarantine that begins by that.
    void quarantine(const PartSet &parts, TimePoint lastBroken, std::vector<LogField> details, TimePoint now);
    /// Removes and returns the quarantines of shared parts that may be derived from the evidence again.
    [[nodiscard]] std::map<PartSet, Quarantine> takeProvisional(TimePoint now);
    /// Restores what is missing of @p previous, unless other quarantines explain the same crashes.
    void keepUnexplained(const std::map<PartSet, Quarantine> &previous);
    /// Makes room for a new quarantine: drops the one that broke off the longest time ago if there are too many.
    void dropOldest();

    PromptQuarantineSettings m_settings;
    EventListener *m_listener;
    /// Broken starts in the order of their times.
    std::deque<Evidence> m_evidence;
    /// Time of the last answer to a prompt with the part.
    std::map<PromptPartId, TimePoint> m_sound;
    /// Parts whose quarantine an answer to this entry has ended, and the time of the answer.
    std::map<PromptPartId, TimePoint> m_released;
    /// Parts that are or were in quarantine.
    std::map<PartSet, Quarantine> m_quarantines;
    /// Quarantines of single requests that this entry may test.
    std::set<PartSet> m_testable;
    /// Time at which the newest evidence is evaluated again; empty if that is not needed.
    std::optional<TimePoint> m_nextEvaluation;
    /// Quarantine that the last summary ended with.
    PartSet m_lastReported;
    QuarantineUpdate m_pending;
};

} // namespace ibismast
