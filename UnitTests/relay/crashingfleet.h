#pragma once

#include "ibismast/relay/relaycore.h"

#include <algorithm>
#include <functional>

namespace ibismast
{

using namespace std::chrono_literals;

/// Part of all prompts, if they share one.
constexpr PromptPartId SharedPart {0x5c};
/// Content of the request that crashes upstreams; sound requests have larger numbers.
constexpr std::uint64_t CrashingContent = 1;
/// Contents of the requests with a crashing prompt are above this number.
constexpr std::uint64_t CrashingPromptBase = 1'000'000;

/// Point of an answer at which an upstream crashes.
enum class CrashPoint : std::uint8_t {
    BeforeHead,
    BeforeFirstEvent,
    BehindFirstEvent,
};

/// Upstreams of one service that end when they begin to answer some requests and are back after three seconds, entries
/// that tell each other what they have seen, and callers.
///
/// Upstreams crash on one request that comes again and again, or, if `Settings::crashingPrompt` is set, on each of the
/// requests with this prompt, which are all different.
class CrashingFleet
{
public:
    struct Settings
    {
        std::size_t entries = 3;
        std::size_t upstreams = 12;
        /// `/g/`: streams of engines; `/p/`, `/u/`: calls of plain services that may and that must not be repeated.
        std::string path = "/g/";
        /// True if all prompts hold a part that they share.
        bool sharesPart = false;
        /// True if an upstream starts again under the id that it had.
        bool keepsId = false;
        double soundRate = 30.0;
        double crashingRate = 2.0;
        std::vector<PromptPartId> crashingPrompt;
        /// Prompts of the sound requests, by turns.
        std::vector<std::vector<PromptPartId>> soundPrompts;
        CrashPoint crashPoint = CrashPoint::BeforeFirstEvent;
        /// Time from the first event of a sound stream to its end.
        Duration streamTime {};
        /// Time that news of another entry takes.
        Duration newsTime = 5ms;
        /// True if what entries tell each other at once is lost, so that they learn it from heartbeats.
        bool heartbeatsOnly = false;
        /// Time before the first of the crashing requests.
        Duration calmTime {};
        /// Time between crashes that no request causes; 0 for none.
        Duration otherCrashes {};
    };

    explicit CrashingFleet(Settings settings) : m_settings(std::move(settings))
    {
        for (std::size_t index = 0; index < m_settings.upstreams; ++index) {
            UpstreamRecord &record = m_upstreams.emplace_back().record;
            record.id = InstanceId("u" + std::to_string(index));
            record.service = ServiceName("service");
            record.address = UpstreamAddress("10.0.0." + std::to_string(index) + ":1");
            record.incarnation = Incarnation(1);
        }
        m_entries.resize(m_settings.entries);
        for (std::size_t index = 0; index < m_settings.entries; ++index) {
            startEntry(index);
        }
        m_crashingFrom = m_now + m_settings.calmTime;
    }

    void play(Duration time)
    {
        const TimePoint end = m_now + time;
        TimePoint nextSound = m_now;
        TimePoint nextCrashing = std::max(m_now, m_crashingFrom);
        TimePoint nextOther = m_now + m_settings.otherCrashes;
        TimePoint nextHeartbeat = m_now;
        for (; m_now < end; m_now += 10ms) {
            for (; nextSound <= m_now; nextSound += fromSeconds(1.0 / m_settings.soundRate)) {
                ++m_contents;
                submit(m_contents, m_contents % m_entries.size(), false);
            }
            for (; nextCrashing <= m_now; nextCrashing += fromSeconds(1.0 / m_settings.crashingRate)) {
                ++m_copies;
                submit(crashesOnPart() ? CrashingPromptBase + m_copies : CrashingContent,
                       m_copies % m_entries.size(),
                       true);
            }
            if (m_settings.otherCrashes > Duration::zero() && m_now >= nextOther) {
                nextOther += m_settings.otherCrashes;
                crashAny();
            }
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const std::function<void()> event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                RelayActions actions;
                m_entries[entry]->tick(m_now, actions);
                perform(entry, actions);
                sendNews(entry);
            }
            if (m_now >= nextHeartbeat) {
                nextHeartbeat = m_now + 500ms;
                for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                    deliver(entry, m_entries[entry]->quarantineSummary(m_now));
                }
            }
        }
    }
    /// Replaces the entry @p index by one that has just started.
    void restartEntry(std::size_t index)
    {
        std::erase_if(m_open, [index](const auto &item) {
            return item.first.first == index;
        });
        startEntry(index);
    }
    void resetCounts()
    {
        soundCalls = 0;
        soundAnswered = 0;
        soundByPrompt.clear();
    }

    int crashes = 0;
    /// Attempts to send crashing requests later than three seconds after the third crash of the one request, or the
    /// fifth crash of the prompts.
    int lateAttempts = 0;
    int soundCalls = 0;
    int soundAnswered = 0;
    /// Calls of one of the sound prompts.
    struct PromptCount
    {
        int calls = 0;
        int answered = 0;
    };
    /// By the index of the prompt.
    std::map<std::size_t, PromptCount> soundByPrompt;

private:
    struct Upstream
    {
        UpstreamRecord record;
        bool down = false;
        /// Number of the present run.
        int run = 0;
    };
    struct Call
    {
        bool crashing = false;
        /// Index of the sound prompt.
        std::size_t prompt = 0;
        int attempt = 0;
        std::size_t upstream = 0;
    };
    using CallKey = std::pair<std::size_t, CallNumber>;

    void startEntry(std::size_t index)
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = m_settings.path;
        route.kind = m_settings.path == "/g/" ? CallKind::ResumableStream
            : m_settings.path == "/p/"        ? CallKind::Idempotent
                                              : CallKind::AtMostOnce;
        route.shares = {{ServiceName("service"), 1}};
        route.maxAttempts = 2;
        route.isPublic = true;
        config.routes.push_back(route);
        RelayService service {ServiceName("service"), 64, std::nullopt};
        if (isGeneration()) {
            service.engine = EngineProfile();
            service.engine->slots = 16;
            service.engine->memory = Tokens(315'000);
        }
        config.services.emplace(service.name, service);
        RelayCoreSettings core;
        core.self = InstanceId("entry" + std::to_string(index));
        m_entries[index] = std::make_unique<RelayCore>(core, index + 1, m_listener);
        m_entries[index]->applyConfig(config, m_now);
        m_entries[index]->directory().apply(list(), m_now);
    }
    [[nodiscard]] bool crashesOnPart() const
    {
        return !m_settings.crashingPrompt.empty();
    }
    [[nodiscard]] bool isGeneration() const
    {
        return m_settings.path == "/g/";
    }
    [[nodiscard]] UpstreamList list() const
    {
        UpstreamList result;
        result.revision.number = m_listRevision;
        for (const Upstream &upstream : m_upstreams) {
            if (!upstream.down) {
                result.records.push_back(upstream.record);
            }
        }
        return result;
    }
    void announceList()
    {
        ++m_listRevision;
        for (const std::unique_ptr<RelayCore> &entry : m_entries) {
            entry->directory().apply(list(), m_now);
        }
    }
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }
    void sendNews(std::size_t from)
    {
        const QuarantineUpdate news = m_entries[from]->takeQuarantineUpdate();
        if (!m_settings.heartbeatsOnly) {
            deliver(from, news);
        }
    }
    void deliver(std::size_t from, const QuarantineUpdate &update)
    {
        if (update.empty()) {
            return;
        }
        after(m_settings.newsTime, [this, from, update] {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                if (entry != from) {
                    m_entries[entry]->applyQuarantineUpdate(update, m_now);
                }
            }
        });
    }
    void submit(std::uint64_t content, std::size_t entry, bool crashing)
    {
        IncomingCall incoming;
        incoming.requestId = "r" + std::to_string(content);
        incoming.host = "h";
        incoming.path = m_settings.path;
        incoming.size = {Tokens(isGeneration() ? 5'000 : 0), Tokens(100)};
        incoming.contentHash = content;
        std::size_t prompt = 0;
        if (m_settings.sharesPart) {
            incoming.promptParts = {SharedPart};
        }
        if (crashing && crashesOnPart()) {
            incoming.promptParts = m_settings.crashingPrompt;
        } else if (!crashing && !m_settings.soundPrompts.empty()) {
            prompt = content / m_entries.size() % m_settings.soundPrompts.size();
            incoming.promptParts = m_settings.soundPrompts[prompt];
        }
        soundCalls += crashing ? 0 : 1;
        soundByPrompt[prompt].calls += crashing ? 0 : 1;
        RelayActions actions;
        const Result<CallNumber> call = m_entries[entry]->submit(incoming, m_now, actions);
        if (errorOf(call) == nullptr) {
            m_open[{entry, std::get<CallNumber>(call)}] = Call {crashing, prompt, 0, 0};
            perform(entry, actions);
        }
    }
    void perform(std::size_t entry, const RelayActions &actions)
    {
        for (const RelayAction &action : actions) {
            const CallKey key {entry, action.call};
            if (const auto *start = std::get_if<StartAttempt>(&action.action)) {
                after(1ms, [this, key, id = start->plan.upstream.id, attempt = start->attempt] {
                    arrive(key, id, attempt);
                });
            } else if (std::holds_alternative<EndBody>(action.action)
                       || std::holds_alternative<SendFullResponse>(action.action)) {
                const Call &call = m_open.at(key);
                soundAnswered += call.crashing ? 0 : 1;
                soundByPrompt[call.prompt].answered += call.crashing ? 0 : 1;
                m_open.erase(key);
            } else if (std::holds_alternative<Refuse>(action.action)
                       || std::holds_alternative<CloseCallerConnection>(action.action)) {
                m_open.erase(key);
            }
        }
    }
    void arrive(const CallKey &key, const InstanceId &id, int attempt)
    {
        const auto call = m_open.find(key);
        const auto upstream = std::ranges::find(m_upstreams, id, [](const Upstream &item) {
            return item.record.id;
        });
        if (call == m_open.end()) {
            return;
        }
        if (upstream == m_upstreams.end() || upstream->down) {
            step(key, [&](RelayCore &core, RelayActions &actions) {
                core.attemptFailed(key.second, attempt, AttemptFailure::NotSent, "refused", m_now, actions);
            });
            return;
        }
        const bool crashing = call->second.crashing;
        const auto index = static_cast<std::size_t>(upstream - m_upstreams.begin());
        call->second.attempt = attempt;
        call->second.upstream = index;
        m_running.insert(key);
        lateAttempts += crashing && m_knownCrash && m_now > *m_knownCrash + 3s ? 1 : 0;
        const Duration work = isGeneration() ? 120ms : 20ms;
        after(work, [this, key, attempt, index, run = upstream->run, crashing] {
            if (!isRunning(key, index, run)) {
                return;
            }
            if (crashing && m_settings.crashPoint == CrashPoint::BeforeHead) {
                crash(index);
                return;
            }
            if (isGeneration() || !crashing) {
                step(key, [&](RelayCore &core, RelayActions &actions) {
                    core.headReceived(key.second, attempt, {200, false, true, {}}, m_now, actions);
                });
            }
            if (crashing && m_settings.crashPoint == CrashPoint::BehindFirstEvent) {
                sendEvent(key, attempt);
            }
            if (crashing) {
                crash(index);
            } else {
                answer(key, attempt, index, run, m_settings.streamTime);
            }
        });
    }
    [[nodiscard]] bool isRunning(const CallKey &key, std::size_t upstream, int run) const
    {
        return !m_upstreams[upstream].down && m_upstreams[upstream].run == run && m_running.contains(key);
    }
    void sendEvent(const CallKey &key, int attempt)
    {
        step(key, [&](RelayCore &core, RelayActions &actions) {
            core.bodyReceived(key.second, attempt, "id: 1\ndata: x\n\n", m_now, actions);
        });
    }
    /// Sends an event each 100 ms and ends the answer after @p rest.
    void answer(const CallKey &key, int attempt, std::size_t upstream, int run, Duration rest)
    {
        sendEvent(key, attempt);
        if (rest > Duration::zero()) {
            after(100ms, [this, key, attempt, upstream, run, rest] {
                if (isRunning(key, upstream, run)) {
                    answer(key, attempt, upstream, run, rest - 100ms);
                }
            });
            return;
        }
        m_running.erase(key);
        step(key, [&](RelayCore &core, RelayActions &actions) {
            core.responseCompleted(key.second, attempt, m_now, actions);
        });
    }
    void crash(std::size_t index)
    {
        ++crashes;
        if (crashes == (crashesOnPart() ? 5 : 3)) {
            m_knownCrash = m_now;
        }
        end(index);
    }
    /// Ends one upstream after the other for a reason of its own.
    void crashAny()
    {
        m_nextToEnd = (m_nextToEnd + 1) % m_upstreams.size();
        if (!m_upstreams[m_nextToEnd].down) {
            end(m_nextToEnd);
        }
    }
    void end(std::size_t index)
    {
        Upstream &upstream = m_upstreams[index];
        upstream.down = true;
        const std::set<CallKey> running = m_running;
        for (const CallKey &key : running) {
            const auto call = m_open.find(key);
            if (call == m_open.end() || call->second.upstream != index) {
                continue;
            }
            m_running.erase(key);
            step(key, [&, attempt = call->second.attempt](RelayCore &core, RelayActions &actions) {
                core.attemptFailed(
                    key.second, attempt, AttemptFailure::Broken, "the connection ended early", m_now, actions);
            });
        }
        after(1s, [this] {
            announceList();
        });
        after(3s, [this, index] {
            Upstream &back = m_upstreams[index];
            back.down = false;
            ++back.run;
            if (!m_settings.keepsId) {
                back.record.id = InstanceId("u" + std::to_string(index) + "." + std::to_string(back.run));
            }
            back.record.incarnation = Incarnation(1 + static_cast<std::uint64_t>(back.run));
            announceList();
        });
    }
    void step(const CallKey &key, const std::function<void(RelayCore &, RelayActions &)> &call)
    {
        RelayActions actions;
        call(*m_entries[key.first], actions);
        perform(key.first, actions);
        sendNews(key.first);
    }

    Settings m_settings;
    TimePoint m_now {1'000s};
    EventListener m_listener;
    std::vector<std::unique_ptr<RelayCore>> m_entries;
    std::vector<Upstream> m_upstreams;
    std::int64_t m_listRevision = 1;
    std::uint64_t m_contents = 1'000;
    std::size_t m_copies = 0;
    TimePoint m_crashingFrom;
    std::size_t m_nextToEnd = 0;
    std::map<CallKey, Call> m_open;
    /// Calls that are at an upstream.
    std::set<CallKey> m_running;
    std::multimap<TimePoint, std::function<void()>> m_events;
    /// Time of the crash from which on the cause must be known.
    std::optional<TimePoint> m_knownCrash;
};

} // namespace ibismast
