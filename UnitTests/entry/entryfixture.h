#pragma once

#include "ibismast/entry/entrycore.h"
#include "ibismast/entry/entrycoresettings.h"

#include <catch2/catch.hpp>

namespace ibismast
{

/// An `EntryCore` with a virtual clock. The test simulates its agents.
class EntryFixture
{
public:
    explicit EntryFixture(const EntryCoreSettings &settings = {})
        : core(settings,
               PeerSummary {InstanceId("entry-1"),
                            Incarnation(100),
                            InstanceRole::Entry,
                            InstanceState::Ready,
                            FailureDomain("kielce-a"),
                            "127.0.0.1:1"},
               7,
               nullptr)
    {
    }

    /// Delivers a message from an agent to the entry.
    void fromAgent(const std::string &agent, PeerMessage message, std::uint64_t incarnation = 1)
    {
        core.handlePeer(
            PeerFrame {InstanceId(agent), Incarnation(incarnation), Revision(), std::move(message)}, now, out);
    }

    /// Delivers a heartbeat of an agent that serves model `m` and service `s`. All of its @p memory, in tokens, is
    /// free.
    void heartbeat(const std::string &agent,
                   std::uint64_t incarnation = 1,
                   InstanceState state = InstanceState::Ready,
                   std::int64_t memory = 1'000'000)
    {
        LoadReport load;
        load.models = {ModelName("m")};
        load.services = {ServiceName("s")};
        load.freeMemory = Tokens(memory);
        load.memoryCapacity = Tokens(memory);
        load.prefillRate = 10'000.0;
        fromAgent(agent,
                  Heartbeat {PeerSummary {InstanceId(agent),
                                          Incarnation(incarnation),
                                          InstanceRole::Agent,
                                          state,
                                          FailureDomain("kielce-a"),
                                          "127.0.0.1:2"},
                             load,
                             {}},
                  incarnation);
    }

    /// Advances the clock in steps of at most 10 ms, with a tick after each.
    void advance(Duration time)
    {
        const TimePoint until = now + time;
        while (now < until) {
            now = std::min(now + std::chrono::milliseconds(10), until);
            core.tick(now, out);
        }
    }

    RequestId submit(Duration timeLeft = std::chrono::seconds(10), std::int64_t promptTokens = 1'000)
    {
        CompletionRequest request;
        request.customer = CustomerId("c");
        request.model = ModelName("m");
        request.promptTokens = Tokens(promptTokens);
        request.maxOutputTokens = Tokens(100);
        request.timeLeft = timeLeft;
        request.body = std::make_shared<const std::string>("{}");
        return core.submit(std::move(request), now, out);
    }

    /// Actions of one kind since the last `out.clear()`, oldest first.
    template<typename Action> [[nodiscard]] std::vector<Action> actions() const
    {
        std::vector<Action> found;
        for (const EntryAction &action : out) {
            if (const auto *match = std::get_if<Action>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /// Message to an agent with its receiver.
    template<typename Message> struct Sent
    {
        std::string receiver;
        Message message;
    };

    /// Messages of one kind to agents since the last `out.clear()`, oldest first.
    template<typename Message> [[nodiscard]] std::vector<Sent<Message>> sent() const
    {
        std::vector<Sent<Message>> found;
        for (const SendToPeer &action : actions<SendToPeer>()) {
            if (const auto *match = std::get_if<Message>(&action.message)) {
                found.push_back({action.receiver.value(), *match});
            }
        }
        return found;
    }

    /// Text of all tokens delivered to the caller.
    [[nodiscard]] std::string deliveredText() const
    {
        std::string text;
        for (const DeliverTokens &delivery : actions<DeliverTokens>()) {
            for (const std::string &token : delivery.tokens) {
                text += token;
            }
        }
        return text;
    }

    EntryCore core;
    TimePoint now {std::chrono::seconds(1'000)};
    EntryActions out;
};

} // namespace ibismast
