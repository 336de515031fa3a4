/*
 * Leases and fencing tokens (design D14).
 *
 * Two holders compete for one placement shard. A holder may be paused at any point; its lease may expire meanwhile, and
 * the other holder then takes a lease with a larger token. Orders travel to the engine through its agent and may be
 * arbitrarily late. The engine ignores tokens, so the agent has to refuse stale ones. The weight store is not fenced: a
 * holder pulls from it only while its own clock says that the lease is valid, and the own clock expires first.
 *
 * Bounds: 2 holders, 4 tokens, 2 orders in flight.
 * Code: LeaseHolder (own clock), FencingGuard (agent).
 * Seeded faults: NO_GUARD, NO_CLOCK_CHECK, EQUAL_TOKENS (safety); NO_EXPIRY (liveness).
 */

#define TOKENS 4

byte storeRevision = 0;  /* grows with each lease record */
byte owner = 0;          /* holder of the lease in the store; 0 is none */
byte token[3];           /* token that holder h believes to have; 0 is none */
bool localValid[3];      /* holder h's own clock says that the lease is valid */
chan orders = [2] of { byte };
byte newestExecuted = 0;

proctype Holder(byte self)
{
end:
    do
    :: atomic { token[self] == 0 && owner == 0 && storeRevision < TOKENS ->
#ifdef EQUAL_TOKENS
        storeRevision = 1;
#else
        storeRevision++;
#endif
        owner = self;
        token[self] = storeRevision;
        localValid[self] = true
       }
    :: atomic { token[self] != 0 && localValid[self] && nfull(orders) -> orders!token[self] }
#ifdef NO_CLOCK_CHECK
    :: atomic { token[self] != 0 -> assert(owner == self) }
#else
    :: atomic { token[self] != 0 && localValid[self] -> assert(owner == self) }
#endif
    /* After a pause the holder reads its clock and gives the lease up. */
    :: atomic { token[self] != 0 && !localValid[self] -> token[self] = 0 }
    od
}

active proctype Time()
{
end:
    do
#ifndef NO_EXPIRY
    /* The margin makes the own clock of a holder expire before the lease in the store. */
    :: atomic { owner != 0 && localValid[owner] -> localValid[owner] = false }
    :: atomic { owner != 0 && !localValid[owner] -> owner = 0 }
#else
    :: false
#endif
    od
}

active proctype Agent()
{
    byte newestSeen = 0;
    byte order;
end:
    do
    :: atomic {
        if
        :: orders?order
        :: len(orders) == 2 -> orders?order; orders!order; orders?order /* overtaken */
        fi;
        if
#ifndef NO_GUARD
        :: order < newestSeen /* refused: stale token */
#endif
        :: (
#ifndef NO_GUARD
            order >= newestSeen &&
#endif
            true) ->
           newestSeen = order;
           assert(order >= newestExecuted);
           newestExecuted = order
        fi;
        order = 0
       }
    od
}

/* Checks that a token never belongs to two leases. */
byte holderOfToken[TOKENS + 1];

active proctype TokenMonitor()
{
    byte seen = 0;
end:
    do
    :: atomic { owner != 0 && token[owner] != 0 && holderOfToken[token[owner]] == 0 && localValid[owner] ->
        seen = owner; holderOfToken[token[owner]] = seen }
    :: atomic { owner != 0 && localValid[owner] && holderOfToken[token[owner]] != 0 ->
        assert(holderOfToken[token[owner]] == owner) }
    od
}

init
{
    atomic {
        run Holder(1);
        run Holder(2)
    }
}

/* The lease moves on: every lease ends, so that it can be taken by another holder. */
ltl released { [] (owner != 0 -> <> (owner == 0)) }
