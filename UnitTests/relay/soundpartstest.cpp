#include "UnitTests/relay/crashingfleet.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

using Prompt = std::vector<PromptPartId>;

constexpr PromptPartId System {0x77};
constexpr PromptPartId Tools {0x5c};
constexpr PromptPartId OtherSystem {0x30};
constexpr PromptPartId OtherTools {0xb6};
constexpr PromptPartId CrashingPart {0x91};

/// Plays crashing prompts for twelve seconds and checks the twelve seconds behind them.
void checkSoundPrompts(const CrashingFleet::Settings &settings)
{
    CrashingFleet fleet(settings);
    fleet.play(settings.calmTime + 12s);
    CHECK(fleet.crashes >= 3);
    fleet.resetCounts();
    fleet.play(12s);
    CHECK(fleet.lateAttempts <= 3);
    for (const auto &[prompt, count] : fleet.soundByPrompt) {
        CAPTURE(prompt);
        CHECK(2 * count.answered >= count.calls);
    }
}

} // namespace

// Guards against sound prompts that are refused for ten minutes since they share parts with prompts that crash
// upstreams (review case 11, LOST): wherever the crashing part stands in its prompts, and wherever in the answer the
// upstreams crash. Later than three seconds after the fifth crash, three of the crashing prompts reach upstreams at
// most.
TEST_CASE("sound prompts that share parts with crashing ones are served", "[relay][load]")
{
    struct Row
    {
        std::string name;
        Prompt crashing;
        std::vector<Prompt> sound;
    };
    const Row row = GENERATE(values<Row>({
        {"last", {System, Tools, CrashingPart}, {{System, Tools}}},
        {"in the middle", {System, CrashingPart, Tools}, {{System, Tools}}},
        {"first", {CrashingPart, System, Tools}, {{System, Tools}}},
        {"behind one part", {System, CrashingPart}, {{System}}},
        {"before one part", {CrashingPart, System}, {{System}}},
        {"two callers", {System, CrashingPart, Tools}, {{System, Tools}, {OtherSystem, OtherTools}}},
        {"two callers with one part", {System, CrashingPart, Tools}, {{System, Tools}, {System, OtherTools}}},
        {"sound prompts with a part more",
         {System, CrashingPart, Tools},
         {{System, Tools, OtherTools}, {System, Tools}}},
    }));
    CrashingFleet::Settings settings;
    settings.crashingPrompt = row.crashing;
    settings.soundPrompts = row.sound;
    settings.crashPoint = GENERATE(CrashPoint::BeforeHead, CrashPoint::BeforeFirstEvent, CrashPoint::BehindFirstEvent);
    settings.entries = GENERATE(std::size_t {1}, std::size_t {3});
    settings.upstreams = GENERATE(std::size_t {3}, std::size_t {6}, std::size_t {12});
    settings.crashingRate = 4.0;
    settings.soundRate = GENERATE(3.0, 20.0);
    settings.streamTime = 1600ms;
    settings.calmTime = GENERATE(0s, 4s);
    CAPTURE(row.name,
            settings.crashPoint,
            settings.entries,
            settings.upstreams,
            settings.soundRate,
            settings.calmTime.count());
    checkSoundPrompts(settings);
}

// Guards against a quarantine of sound parts that stays although the reports of other entries, which arrive later, name
// the crashing part (related to review case 11, LOST).
TEST_CASE("sound prompts are served although entries learn late of each other's crashes", "[relay][load]")
{
    CrashingFleet::Settings settings;
    settings.crashingPrompt = GENERATE(values<Prompt>({
        {System, Tools, CrashingPart},
        {System, CrashingPart, Tools},
    }));
    settings.soundPrompts = GENERATE(values<std::vector<Prompt>>({
        {{System, Tools}},
        {{System, Tools}, {OtherSystem, OtherTools}},
    }));
    settings.crashPoint = GENERATE(CrashPoint::BeforeHead, CrashPoint::BeforeFirstEvent, CrashPoint::BehindFirstEvent);
    settings.newsTime = GENERATE(5ms, 100ms);
    settings.heartbeatsOnly = GENERATE(false, true);
    settings.entries = GENERATE(std::size_t {2}, std::size_t {6});
    settings.upstreams = GENERATE(std::size_t {6}, std::size_t {12});
    settings.crashingRate = 4.0;
    settings.soundRate = 20.0;
    settings.streamTime = 1600ms;
    settings.calmTime = GENERATE(0s, 4s);
    CAPTURE(settings.crashingPrompt.back().value(),
            settings.soundPrompts.size(),
            settings.crashPoint,
            settings.newsTime.count(),
            settings.heartbeatsOnly,
            settings.entries,
            settings.upstreams,
            settings.calmTime.count());
    checkSoundPrompts(settings);
}
