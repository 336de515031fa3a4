#pragma once

#include "UnitTests/adapters/qttest.h"
#include "adapters/agentdaemon.h"
#include "adapters/entrydaemon.h"
#include "adapters/keyhash.h"
#include "standins/keyvalue/keyvalueserver.h"

namespace ibismast
{

/// Daemons on loopback sockets that share a stand-in of the key-value service.
struct FleetFixture : NeedsEventLoop
{
    FleetFixture() : storePort(store.start(0))
    {
        REQUIRE(storePort != 0);
    }

    [[nodiscard]] static std::string address(quint16 port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }
    [[nodiscard]] std::string storeSection() const
    {
        // The budget is wide, so that a test waits for nothing but the messages.
        return "[store]\ngateway = http://" + address(storePort)
            + "\nreads_per_second = 1000\nwrites_per_second = 1000\nread_burst = 1000\nwrite_burst = 1000\n";
    }
    /// Starts an agent; nothing listens at its engine's address.
    [[nodiscard]] std::unique_ptr<AgentDaemon> startAgent(const std::string &id, std::uint64_t incarnation = 1) const
    {
        SettingsFile file = parsed("[instance]\nid = " + id + "\ndomain = d\n[peers]\nlisten = 127.0.0.1:0\n"
                                   + "[engine]\naddress = 127.0.0.1:9\nmodels = small\n" + storeSection());
        AgentDaemonSettings settings = readAgentSettings(file);
        requireValid(file);
        auto daemon =
            std::make_unique<AgentDaemon>(std::move(settings), Incarnation(incarnation), [](const Error &) {});
        const auto started = daemon->start();
        REQUIRE(errorOf(started) == nullptr);
        return daemon;
    }
    [[nodiscard]] std::unique_ptr<EntryDaemon>
    startEntry(const std::string &id, const std::string &agents, const std::string &more = {}) const
    {
        SettingsFile file = parsed("[instance]\nid = " + id + "\ndomain = d\n[http]\nlisten = 127.0.0.1:0\n"
                                   + "[peers]\nagents = " + agents + "\n" + storeSection() + more);
        EntryDaemonSettings settings = readEntrySettings(file);
        requireValid(file);
        auto daemon = std::make_unique<EntryDaemon>(std::move(settings), nullptr, Incarnation(1), [](const Error &) {});
        const auto started = daemon->start();
        REQUIRE(errorOf(started) == nullptr);
        return daemon;
    }
    /// Carries out an operator's call in @p entry.
    template<typename Reply>
    [[nodiscard]] static Reply
    call(EntryDaemon &entry, const OperatorRequest &request, const OperatorIdentity &who = {"ana", OperatorRole::Admin})
    {
        std::optional<OperatorReply> reply;
        entry.operators()->call(who, request, [&reply](const OperatorReply &answer) {
            reply = answer;
        });
        REQUIRE(runUntil([&reply] {
            return reply.has_value();
        }));
        const auto *error = std::get_if<Error>(&*reply);
        CAPTURE(error != nullptr ? error->message : std::string());
        REQUIRE(std::holds_alternative<Reply>(*reply));
        return std::get<Reply>(*reply);
    }
    /// Plans and applies the declarations in @p text.
    [[nodiscard]] static ChangeReply apply(EntryDaemon &entry, const std::string &changeId, const std::string &text)
    {
        const auto plan = call<PlanReply>(entry, PlanCall {{{"fleet.ini", text}}, false});
        return call<ChangeReply>(entry, toApply(plan, changeId));
    }
    [[nodiscard]] static ApplyCall toApply(const PlanReply &plan, const std::string &changeId)
    {
        ApplyCall apply {changeId, "test", {}, plan.expected};
        for (const ConfigEdit &edit : plan.edits) {
            apply.edits[edit.object] = edit.after;
        }
        return apply;
    }
    void fault(const QJsonObject &command)
    {
        const auto result = store.execute(command);
        REQUIRE(errorOf(result) == nullptr);
    }

    KeyValueServer store;
    quint16 storePort;

private:
    [[nodiscard]] static SettingsFile parsed(const std::string &text)
    {
        return std::get<SettingsFile>(SettingsFile::parse("test.ini", text));
    }
    static void requireValid(SettingsFile &file)
    {
        const std::optional<Error> error = file.finish();
        CAPTURE(error.value_or(Error()).message);
        REQUIRE_FALSE(error);
    }
};

} // namespace ibismast
