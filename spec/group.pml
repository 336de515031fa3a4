/*
 * Memory of a group of engines (design D3, D4).
 *
 * Two requests each need the memory of three engines; every engine has room for one. A request reserves in ascending
 * order, one engine at a time, and releases all that it holds after a refusal. A release message may be lost and the
 * owner may die; then the reservation expires. An engine may die once, which ends its reservation and makes the owner
 * release the others.
 *
 * Bounds: 2 requests, 3 engines, 2 tries per request, 1 engine death, 1 owner death per request.
 * Code: GroupReservation (entry), MemoryAccount (agent).
 * Seeded faults: NO_EXPIRY, NO_MEMBER_RELEASE (leak); HOLD_AND_WAIT (deadlock).
 */

#define ENGINES 3
#define REQUESTS 2
#define TRIES 2

byte reservedBy[ENGINES + 1];      /* request that holds the engine's memory; 0 is none */
bool orphan[ENGINES + 1];          /* nobody will release it; only expiry can */
byte ended = 0;
bool engineDeathUsed = false;
byte lostEngine = 0;

inline release(engine, self)
{
    atomic {
        if
        :: reservedBy[engine] == self ->
           if
           :: reservedBy[engine] = 0
           :: orphan[engine] = true /* the release is lost */
           fi
        :: reservedBy[engine] != self
        fi
    }
}

inline releaseAll(self)
{
    i = 1;
    do
    :: i <= ENGINES -> release(i, self); i++
    :: i > ENGINES -> break
    od
}

proctype Request(byte self)
{
    byte next = 1;
    byte tries = 0;
    byte i;
    bool wanted = true;
    do
    :: !wanted || tries >= TRIES -> break
    :: wanted && tries < TRIES && next <= ENGINES ->
#ifdef HOLD_AND_WAIT
        /* Reserves in an order of its own and waits for the engine instead of giving up what it holds. */
        if
        :: atomic { self == 1 && reservedBy[next] == 0 -> reservedBy[next] = self; next++ }
        :: atomic { self == 2 && reservedBy[ENGINES + 1 - next] == 0 ->
            reservedBy[ENGINES + 1 - next] = self; next++ }
        fi
#else
        if
        :: atomic { reservedBy[next] == 0 -> reservedBy[next] = self; assert(!orphan[next]); next++ }
        :: atomic { reservedBy[next] != 0 -> skip };
           releaseAll(self);
           tries++;
           next = 1
        /* The owner dies; what it holds has no owner. */
        :: atomic {
            i = 1;
            do
            :: i <= ENGINES ->
               if
               :: reservedBy[i] == self -> orphan[i] = true
               :: reservedBy[i] != self
               fi;
               i++
            :: i > ENGINES -> break
            od;
            i = 0;
            goto finish
           }
        fi
#endif
    :: wanted && next > ENGINES ->
        /* Runs with all members, or one member dies and the others are released at once. */
        if
        :: atomic { lostEngine == 0 || reservedBy[lostEngine] == self -> skip }; releaseAll(self)
        :: atomic { lostEngine != 0 && reservedBy[lostEngine] != self -> skip };
#ifndef NO_MEMBER_RELEASE
           releaseAll(self)
#endif
        fi;
        wanted = false
    od;
finish:
    ended++
}

active proctype EngineDeath()
{
end:
    if
    :: atomic {
        !engineDeathUsed && ended < REQUESTS ->
        engineDeathUsed = true;
        lostEngine = 2;
        reservedBy[2] = 0;
        orphan[2] = false
       }
    :: ended == REQUESTS
    fi
}

#ifndef NO_EXPIRY
active proctype Expiry()
{
end:
    do
    :: atomic { orphan[1] -> orphan[1] = false; reservedBy[1] = 0 }
    :: atomic { orphan[2] -> orphan[2] = false; reservedBy[2] = 0 }
    :: atomic { orphan[3] -> orphan[3] = false; reservedBy[3] = 0 }
    od
}
#endif

#ifdef LIVENESS
/* Keeps every run infinite: Spin looks for acceptance cycles, which a run that has stopped does not have. */
active proctype Clock()
{
    bool phase = false;
    do
    :: phase = !phase
    od
}
#endif

init
{
    atomic {
        run Request(1);
        run Request(2)
    }
}

#define memoryFree (reservedBy[1] == 0 && reservedBy[2] == 0 && reservedBy[3] == 0)

/* Both requests end and all memory is given back for good. */
ltl returned { <> [] (ended == REQUESTS && memoryFree) }
