#include "ibismast/relay/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const ServiceName Pool("pool");

UpstreamRecord record(const std::string &id, std::uint64_t report = 1)
{
    return {InstanceId(id), Pool, UpstreamAddress("10.0.0.1:80"), FailureDomain("a"), false, Incarnation(1), report};
}

class DirectoryFixture
{
protected:
    /// Applies a list of the upstreams in @p ids.
    void apply(const std::vector<std::string> &ids)
    {
        UpstreamList list;
        list.revision = ++m_revision;
        for (const std::string &id : ids) {
            list.records.push_back(record(id, static_cast<std::uint64_t>(m_revision)));
        }
        directory.apply(list, now);
    }
    /// Returns the ids of the upstreams that may get work.
    [[nodiscard]] std::string usable() const
    {
        std::string ids;
        const UpstreamDirectory::Candidates candidates = directory.candidates(Pool, now);
        for (const auto *members : {&candidates.trusted, &candidates.suspected}) {
            for (const auto *member : *members) {
                ids += member->record.id.value();
            }
        }
        return ids;
    }

    EventListener listener;
    UpstreamDirectory directory {UpstreamDirectorySettings(), listener};
    TimePoint now {1'000s};

private:
    std::int64_t m_revision = 0;
};

} // namespace

// Guards against new work for an upstream that left without notice after an outage: regsel-jawa trouble-1 broke DRAIN.
TEST_CASE_METHOD(DirectoryFixture, "an upstream that vanishes is kept only just after an outage", "[relay]")
{
    const auto [sinceOutage, kept] = GENERATE(
        table<Duration, bool>({{100ms, true}, {2'000ms, true}, {2'300ms, false}, {2'700ms, false}, {4'900ms, false}}));
    apply({"a", "b", "c", "d", "e"});
    directory.noteOutage(now);
    now += sinceOutage;
    apply({"a", "b", "c", "d"});
    CHECK(usable() == (kept ? "abcde" : "abcd"));
}

// Guards against work for upstreams that never return to the list.
TEST_CASE_METHOD(DirectoryFixture,
                 "an upstream that does not return within 2.2 s of the outage's end has left",
                 "[relay]")
{
    apply({"a", "b", "c", "d", "e"});
    directory.noteOutage(now);
    now += 500ms;
    apply({"a", "b", "c", "d"});
    CHECK(usable() == "abcde");
    now += 1'600ms;
    directory.expire(now);
    CHECK(usable() == "abcde");
    now += 200ms;
    directory.expire(now);
    CHECK(usable() == "abcd");
}

// Guards against a fleet without upstreams because their entries lapsed in an outage that this entry did not see.
TEST_CASE_METHOD(DirectoryFixture, "the loss of a third at once is taken for an outage", "[relay]")
{
    struct Row
    {
        std::vector<std::string> left;
        std::string usable;
    };
    const auto [left, usableAfter] = GENERATE(values<Row>({
        {{"a", "b", "c", "d", "e"}, "abcde"},
        {{"a", "b", "c", "d"}, "abcd"},
        {{"a", "b"}, "abcde"},
        {{}, "abcde"},
    }));
    apply({"a", "b", "c", "d", "e"});
    now += 700ms;
    apply(left);
    CHECK(usable() == usableAfter);
    now += 2'300ms;
    directory.expire(now);
    std::string remaining;
    for (const std::string &id : left) {
        remaining += id;
    }
    CHECK(usable() == remaining);
}

// Guards against new work for upstreams that announced that they leave, and against old lists.
TEST_CASE_METHOD(DirectoryFixture, "a leaving upstream gets nothing, also if an older list comes later", "[relay]")
{
    apply({"a", "b"});
    UpstreamList list {{record("a"), record("b")}, 10};
    list.records[1].leaving = true;
    directory.apply(list, now);
    CHECK(usable() == "a");
    directory.apply({{record("a"), record("b")}, 9}, now);
    CHECK(usable() == "a");
}

// Load: nine of 23 engines leave while the store does not answer. Guards against long prompts that are refused one
// after the other because of the same helpers (regsel-jawa trouble-3).
TEST_CASE_METHOD(DirectoryFixture, "an upstream that is blamed once is avoided for 3 s", "[relay][load]")
{
    const auto [later, suspected] = GENERATE(table<Duration, std::size_t>({{0ms, 1}, {2'900ms, 1}, {3'100ms, 0}}));
    apply({"a", "b"});
    directory.noteReportedFailure(InstanceId("b"), now);
    now += later;
    apply({"a", "b"});
    CHECK(directory.candidates(Pool, now).suspected.size() == suspected);
}

// Load: long prompts while reports are held up on their way. Guards against one or two upstreams that get all work
// because the others are thought silent: inc-2b1d read prompts of 2 s on one engine of 15.
TEST_CASE_METHOD(DirectoryFixture, "silent upstreams are suspected only while most others report", "[relay][load]")
{
    const auto [silent, suspected] =
        GENERATE(table<int, std::size_t>({{0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 0}, {9, 0}}));
    UpstreamList list;
    for (int index = 0; index < 10; ++index) {
        list.records.push_back(record("e" + std::to_string(index)));
    }
    list.revision = 1;
    directory.apply(list, now);
    now += 3s;
    for (int index = silent; index < 10; ++index) {
        ++list.records[static_cast<std::size_t>(index)].reportNumber;
    }
    ++list.revision;
    directory.apply(list, now);
    CHECK(directory.candidates(Pool, now).suspected.size() == suspected);
}

// Guards against calls that fail one after the other at an upstream that is gone.
TEST_CASE_METHOD(DirectoryFixture, "a failing or silent upstream is suspected, a restarted one is not", "[relay]")
{
    apply({"a", "b"});
    directory.noteFailure(InstanceId("b"), now);
    directory.noteFailure(InstanceId("b"), now);
    CHECK(directory.candidates(Pool, now).suspected.size() == 1);
    UpstreamList list {{record("a", 7), record("b", 7)}, 10};
    list.records[1].incarnation = Incarnation(2);
    directory.apply(list, now);
    CHECK(directory.candidates(Pool, now).suspected.empty());

    now += 3s;
    directory.apply({{record("a", 8), list.records[1]}, 11}, now);
    REQUIRE(directory.candidates(Pool, now).suspected.size() == 1);
    CHECK(directory.candidates(Pool, now).suspected.front()->record.id == InstanceId("b"));
}
