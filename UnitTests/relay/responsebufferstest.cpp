#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Entry with a small limit on buffered bytes, and calls whose upstreams answer with bodies.
class BufferFixture
{
protected:
    BufferFixture()
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        RelayRoute &route = config.routes.emplace_back();
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = CallKind::AtMostOnce;
        route.shares = {{ServiceName("plain"), 1}};
        route.isPublic = true;
        config.services.emplace(ServiceName("plain"), RelayService {ServiceName("plain"), 64, std::nullopt});
        core.applyConfig(config, now);
        UpstreamRecord upstream;
        upstream.id = InstanceId("u");
        upstream.service = ServiceName("plain");
        core.directory().apply({{upstream}, 1}, now);
    }
    static RelayCoreSettings settings()
    {
        RelayCoreSettings result;
        result.maxBufferedBytes = 1'000'000;
        result.guaranteedBufferBytes = 64'000;
        return result;
    }
    /// Starts a call whose response has begun.
    CallNumber begin()
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = "/a";
        RelayActions actions;
        const Result<CallNumber> number = core.submit(call, now, actions);
        REQUIRE(errorOf(number) == nullptr);
        core.headReceived(std::get<CallNumber>(number), 1, {200, false, true, {}}, now, actions);
        return std::get<CallNumber>(number);
    }
    /// Receives @p size bytes of the body of @p call and collects the calls that are given up for it.
    void receive(CallNumber call, std::size_t size)
    {
        RelayActions actions;
        core.bodyReceived(call, 1, std::string(size, 'x'), now, actions);
        for (const RelayAction &action : actions) {
            if (std::holds_alternative<Refuse>(action.action)) {
                refused.insert(action.call);
            }
        }
        most = std::max(most, core.bufferedBytes() + core.unsentBytes());
    }
    [[nodiscard]] bool completes(CallNumber call)
    {
        RelayActions actions;
        core.responseCompleted(call, 1, now, actions);
        return actions.size() == 1 && std::holds_alternative<SendFullResponse>(actions[0].action);
    }

    EventListener listener;
    RelayCore core {settings(), 1, listener};
    TimePoint now {1'000s};
    std::set<CallNumber> refused;
    std::int64_t most = 0;
};

} // namespace

// Guards against sound calls that fail because the responses of faulty upstreams, which never end, or answers that slow
// callers have not read yet, have filled the buffers of all calls.
TEST_CASE_METHOD(BufferFixture, "full buffers cost the largest incomplete response, not small ones", "[relay]")
{
    const auto [faulty, unsent] = GENERATE(
        table<std::size_t, std::int64_t>({{1, 0}, {5, 0}, {30, 0}, {5, 500'000}, {5, 1'200'000}, {0, 1'200'000}}));
    CAPTURE(faulty, unsent);
    core.unsentBytesChanged(unsent);
    std::vector<CallNumber> endless;
    std::vector<CallNumber> sound;
    for (std::size_t index = 0; index < faulty; ++index) {
        endless.push_back(begin());
    }
    for (int index = 0; index < 10; ++index) {
        sound.push_back(begin());
    }
    for (int round = 0; round < 200; ++round) {
        for (const CallNumber &call : endless) {
            receive(call, 8'000);
        }
        if (round % 2 == 0 && round < 14) {
            for (const CallNumber &call : sound) {
                receive(call, 8'000);
            }
        }
    }
    for (const CallNumber &call : sound) {
        CHECK_FALSE(refused.contains(call));
        CHECK(completes(call));
    }
    for (const CallNumber &call : endless) {
        CHECK((refused.contains(call) || faulty == 1));
    }
    // What every call may hold comes on top, and one piece for each call that is given up.
    constexpr std::int64_t Guaranteed = 64'000;
    const std::int64_t calls = static_cast<std::int64_t>(endless.size() + sound.size());
    CHECK(most <= std::max<std::int64_t>(1'000'000, unsent) + calls * Guaranteed);
    // The upstream is not blamed, so it takes further calls.
    CHECK(core.directory().candidates(ServiceName("plain"), now).trusted.size() == 1);
    core.unsentBytesChanged(-unsent);
    CHECK(core.unsentBytes() == 0);
    for (const CallNumber &call : endless) {
        RelayActions actions;
        core.callerDisconnected(call, now, actions);
    }
    CHECK(core.bufferedBytes() == 0);
}
