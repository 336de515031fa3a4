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
        list.revision.number = ++m_revision;
        for (const std::string &id : ids) {
            list.records.push_back(record(id, static_cast<std::uint64_t>(m_revision)));
        }
        directory.apply(list, now);
    }
    /// Returns the ids of the upstreams that may receive calls, trusted ones first.
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

// Guards against calls to an upstream that shut down without notice after an outage, which violated the rule DRAIN in
// regsel-jawa trouble-1.
TEST_CASE_METHOD(DirectoryFixture, "a missing upstream stays in use only shortly after an outage", "[relay]")
{
    const auto [sinceOutage, kept] = GENERATE(
        table<Duration, bool>({{100ms, true}, {2'000ms, true}, {2'300ms, false}, {2'700ms, false}, {4'900ms, false}}));
    apply({"a", "b", "c", "d", "e"});
    directory.noteOutage(now);
    now += sinceOutage;
    apply({"a", "b", "c", "d"});
    CHECK(usable() == (kept ? "abcde" : "abcd"));
}

// Guards against calls to upstreams that never reappear in the list.
TEST_CASE_METHOD(DirectoryFixture,
                 "an upstream that does not reappear within 2.2 s after an outage is removed",
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

// Guards against a fleet without upstreams because their records expired in an outage of the store that this entry did
// not observe.
TEST_CASE_METHOD(DirectoryFixture, "the simultaneous loss of a third of the upstreams counts as an outage", "[relay]")
{
    struct Row
    {
        std::vector<std::string> listed;
        std::string usable;
    };
    const auto [listed, usableAfter] = GENERATE(values<Row>({
        {{"a", "b", "c", "d", "e"}, "abcde"},
        {{"a", "b", "c", "d"}, "abcd"},
        {{"a", "b"}, "abcde"},
        {{}, "abcde"},
    }));
    apply({"a", "b", "c", "d", "e"});
    now += 700ms;
    apply(listed);
    CHECK(usable() == usableAfter);
    now += 2'300ms;
    directory.expire(now);
    std::string remaining;
    for (const std::string &id : listed) {
        remaining += id;
    }
    CHECK(usable() == remaining);
}

// Guards against new calls to upstreams that have announced their shutdown, also after an outdated list.
TEST_CASE_METHOD(DirectoryFixture, "a leaving upstream gets no calls, even if an older list arrives later", "[relay]")
{
    apply({"a", "b"});
    UpstreamList list {{record("a"), record("b")}, 10};
    list.records[1].leaving = true;
    directory.apply(list, now);
    CHECK(usable() == "a");
    directory.apply({{record("a"), record("b")}, 9}, now);
    CHECK(usable() == "a");
}

// Guards against calls to upstreams that have left, and against live ones that get none, because a restored store lists
// them as they were in an older copy or has given the revision of its list out before.
TEST_CASE_METHOD(DirectoryFixture, "a restored store brings no upstream back and hides none", "[relay]")
{
    struct Row
    {
        /// Records of "b", leaving by its report 5, "d", removed after its report 5, or "e", which is new.
        std::string id;
        std::uint64_t report;
        std::uint64_t incarnation;
        bool leaving;
        std::string usable;
    };
    const Row row = GENERATE(values<Row>({
        {"a", 6, 1, true, "c"},
        {"b", 3, 1, false, "ac"},
        {"b", 5, 1, false, "ac"},
        {"b", 9, 0, false, "ac"},
        {"b", 6, 1, true, "ac"},
        {"b", 1, 2, false, "abc"},
        {"d", 3, 1, false, "ac"},
        {"d", 5, 1, true, "ac"},
        {"d", 6, 1, false, "acd"},
        {"d", 1, 2, false, "acd"},
        {"e", 1, 1, false, "ace"},
        {"e", 1, 1, true, "ac"},
    }));
    const std::int64_t number = GENERATE(2, 11, 20);
    UpstreamList list {{record("a", 5), record("b", 5), record("c", 5), record("d", 5)}, 10};
    list.records[1].leaving = true;
    directory.apply(list, now);
    list.records.pop_back();
    list.revision.number = 11;
    directory.apply(list, now);
    REQUIRE(usable() == "ac");

    now += 2s;
    UpstreamRecord changed = record(row.id, row.report);
    changed.incarnation = Incarnation(row.incarnation);
    changed.leaving = row.leaving;
    UpstreamList restored {{changed}, {number, StoreEra(1)}};
    for (const char *id : {"a", "c"}) {
        if (row.id != id) {
            restored.records.push_back(record(id, 3));
        }
    }
    directory.apply(restored, now);
    CHECK(usable() == row.usable);
}

// Guards against a live upstream that a restored store does not list until it registers again, and against one that
// never does and gets calls for long.
TEST_CASE_METHOD(DirectoryFixture, "an upstream that a restored store has lost may return for 2.2 s", "[relay]")
{
    // Report that "b" writes when it registers again; 0 if it does not.
    const std::uint64_t report = GENERATE(0, 5, 6);
    directory.apply({{record("a", 5), record("b", 5)}, 10}, now);
    now += 700ms;
    directory.apply({{record("a", 3)}, {4, StoreEra(1)}}, now);
    CHECK(usable() == "ab");
    now += 2s;
    directory.apply({report > 0 ? std::vector {record("a", 6), record("b", report)} : std::vector {record("a", 6)},
                     {6, StoreEra(1)}},
                    now);
    CHECK(usable() == "ab");
    now += 500ms;
    directory.expire(now);
    CHECK(usable() == (report > 0 ? "ab" : "a"));
}

// Load: nine of 23 engines shut down while the store does not answer. Guards against long prompts that are refused one
// after another because of the same unavailable helpers (seen in regsel-jawa trouble-3).
TEST_CASE_METHOD(DirectoryFixture, "an upstream whose failure another one reports is avoided for 3 s", "[relay][load]")
{
    const auto [elapsed, suspected] = GENERATE(table<Duration, std::size_t>({{0ms, 1}, {2'900ms, 1}, {3'100ms, 0}}));
    apply({"a", "b"});
    directory.noteReportedFailure(InstanceId("b"), now);
    now += elapsed;
    apply({"a", "b"});
    CHECK(directory.candidates(Pool, now).suspected.size() == suspected);
}

// Load: long prompts while the upstreams' reports are delayed. Guards against one or two upstreams that get all calls
// because the others are suspected: in inc-2b1d one engine of 15 executed prefills of 2 s each.
TEST_CASE_METHOD(DirectoryFixture, "silent upstreams are suspected only while most others report", "[relay][load]")
{
    const auto [silent, suspected] =
        GENERATE(table<int, std::size_t>({{0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 0}, {9, 0}}));
    UpstreamList list;
    for (int index = 0; index < 10; ++index) {
        list.records.push_back(record("e" + std::to_string(index)));
    }
    list.revision.number = 1;
    directory.apply(list, now);
    now += 3s;
    for (int index = silent; index < 10; ++index) {
        ++list.records[static_cast<std::size_t>(index)].reportNumber;
    }
    ++list.revision.number;
    directory.apply(list, now);
    CHECK(directory.candidates(Pool, now).suspected.size() == suspected);
}

// Guards against calls that keep failing at an upstream that no longer runs.
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

// Guards against calls to an upstream whose responses say that it is leaving while the list, which may be of before,
// does not (review case 4), and against a new process that inherits the notice of the one before it.
TEST_CASE_METHOD(DirectoryFixture, "a leave that a response has announced holds for the run of the upstream", "[relay]")
{
    /// Changes to the record of the upstream in the list that follows the notice.
    struct Row
    {
        std::string name;
        std::uint64_t incarnation;
        /// Incarnation in the list after the notice.
        std::uint64_t listedIncarnation;
        std::uint64_t listedReport;
        std::string listedAddress;
        /// True if a list without the upstream comes first.
        bool missing;
        std::string usable;
    };
    const std::string address = "10.0.0.1:80";
    const auto row = GENERATE_COPY(values<Row>({
        {"the same record", 1, 1, 5, address, false, "b"},
        {"a newer report of the run", 1, 1, 9, address, false, "b"},
        {"listed again after it was missing", 1, 1, 5, address, true, "b"},
        {"a newer report after it was missing", 1, 1, 9, address, true, "b"},
        {"a new run", 1, 2, 1, address, false, "ab"},
        {"a new run after it was missing", 1, 2, 1, address, true, "ab"},
        {"the same id at another address", 1, 1, 6, "10.0.0.1:81", false, "ab"},
        {"unknown incarnation, a newer report", 0, 0, 6, address, false, "b"},
        {"unknown incarnation, reports counted anew", 0, 0, 1, address, false, "ab"},
        {"unknown incarnation, a newer report after it was missing", 0, 0, 6, address, true, "b"},
        {"unknown incarnation, counted anew after it was missing", 0, 0, 1, address, true, "ab"},
    }));
    CAPTURE(row.name);
    UpstreamRecord left = record("a", 5);
    left.incarnation = Incarnation(row.incarnation);
    directory.apply({{left, record("b")}, 1}, now);
    REQUIRE(usable() == "ab");
    CHECK(directory.noteLeaving(left, now));
    CHECK_FALSE(directory.noteLeaving(left, now + 1s));
    CHECK(usable() == "b");
    now += 1s;
    if (row.missing) {
        directory.apply({{record("b")}, 2}, now);
        now += 1s;
    }
    UpstreamRecord listed = left;
    listed.incarnation = Incarnation(row.listedIncarnation);
    listed.reportNumber = row.listedReport;
    listed.address = UpstreamAddress(row.listedAddress);
    directory.apply({{listed, record("b")}, 3}, now);
    CHECK(usable() == row.usable);
    // A response of the former run that is late does not concern the new one.
    CHECK_FALSE(directory.noteLeaving(left, now));
    CHECK(usable() == row.usable);
}

// Guards against a late response of a run that has ended, and against a list that names an upstream again while it
// completes its last calls.
TEST_CASE_METHOD(DirectoryFixture,
                 "a leave that is announced after the removal holds when it is listed again",
                 "[relay]")
{
    apply({"a", "b"});
    apply({"b"});
    REQUIRE(usable() == "b");
    CHECK(directory.noteLeaving(record("a"), now));
    apply({"a", "b"});
    CHECK(usable() == "b");
    CHECK_FALSE(directory.noteLeaving(record("unknown"), now));
}
