#include "ibismast/memory/memoryaccount.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

AttemptId owner(std::uint64_t sequence)
{
    return {RequestId {Incarnation(1), sequence}, 0};
}

} // namespace

// Guards against memory that is reserved twice, and against memory that stays reserved after its release.
TEST_CASE("reservations never exceed the capacity and return to zero", "[memory]")
{
    MemoryAccount account(Tokens(1'000));
    CHECK(account.reserve(owner(1), Tokens(700), TimePoint(Duration(5))));
    CHECK_FALSE(account.reserve(owner(2), Tokens(301), TimePoint(Duration(5))));
    CHECK_FALSE(account.reserve(owner(1), Tokens(100), TimePoint(Duration(5))));
    CHECK(account.reserve(owner(2), Tokens(300), TimePoint(Duration(9))));
    CHECK(account.free() == Tokens(0));
    CHECK(account.expired(TimePoint(Duration(5))) == std::vector<AttemptId> {owner(1)});
    CHECK(account.release(owner(1)));
    CHECK_FALSE(account.release(owner(1)));
    account.setCapacity(Tokens(200));
    CHECK(account.free() == Tokens(0));
    CHECK(account.release(owner(2)));
    CHECK(account.free() == Tokens(200));
    CHECK(account.reserved() == Tokens(0));
}
