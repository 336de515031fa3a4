/*
 * At-most-once execution of a non-idempotent call (design D6, D7).
 *
 * A caller sends the same call with one idempotency key through two entries. Entry e holds operation id e, issued by
 * the agent's first incarnation, and binds the key to one of the two ids by compare-and-swap. The network is an
 * unordered set of messages that can be lost, duplicated and arbitrarily late. The agent may restart and forget. The
 * store may fail once, and one of its answers may be lost after the write took effect.
 *
 * Bounds: 2 entries, 2 incarnations, 2 calls and 1 cancel per entry, 1 store outage, 1 lost store answer.
 * Code: ClaimBatcher (claim, read back), EntryCore (dispatch, cancel, deadline), OperationTable (the agent).
 * Seeded faults: NO_CLAIM, BLIND_REWRITE, NO_INCARNATION_CHECK, NO_TOMBSTONE (safety); NO_DEADLINE (liveness).
 */

#define ENTRIES 2
#define CALLS 2

mtype = { None, Completed, NotRun, Unknown };

byte callsInFlight[9];   /* index: operation * 3 + sending entry */
bool cancelInFlight[3];  /* index: operation */

byte claim = 0;          /* operation id bound to the key; 0 is none */
bool storeUp = true;
bool outageUsed = false;
bool storeAnswerLost = false;

byte incarnation = 1;
bool done[3];
bool tombstone[3];
mtype reply[3] = None;   /* newest answer of the agent for an operation that was not lost */

byte runs = 0;
bool ranFor[3];          /* a call sent by entry e was executed */
bool toldNotRun[3];      /* the caller of entry e was told "not run" */
byte finished = 0;

inline execute(operation, entry)
{
    runs++;
    ranFor[entry] = true;
    done[operation] = true;
    assert(runs <= 1);
    assert(!toldNotRun[entry])
}

inline sendReply(operation, outcome)
{
    if
    :: reply[operation] = outcome
    :: true /* the answer is lost */
    fi
}

inline receiveCall(operation, entry)
{
    if
#ifndef NO_INCARNATION_CHECK
    :: incarnation != 1 -> sendReply(operation, Unknown)
    :: incarnation == 1 && tombstone[operation] -> sendReply(operation, NotRun)
    :: incarnation == 1 && !tombstone[operation] && done[operation] -> sendReply(operation, Completed)
    :: incarnation == 1 && !tombstone[operation] && !done[operation] ->
#else
    :: tombstone[operation] -> sendReply(operation, NotRun)
    :: !tombstone[operation] && done[operation] -> sendReply(operation, Completed)
    :: !tombstone[operation] && !done[operation] ->
#endif
       execute(operation, entry);
       sendReply(operation, Completed)
    fi
}

inline receiveCancel(operation)
{
    if
#ifndef NO_INCARNATION_CHECK
    :: incarnation != 1 -> sendReply(operation, Unknown)
    :: incarnation == 1 && done[operation] -> sendReply(operation, Completed)
    :: incarnation == 1 && !done[operation] ->
#else
    :: done[operation] -> sendReply(operation, Completed)
    :: !done[operation] ->
#endif
#ifndef NO_TOMBSTONE
       tombstone[operation] = true;
#endif
       sendReply(operation, NotRun)
    fi
}

active proctype Agent()
{
    byte operation, entry;
end:
    do
    :: atomic {
        select(operation : 1 .. ENTRIES);
        select(entry : 1 .. ENTRIES);
        if
        :: callsInFlight[operation * 3 + entry] > 0 ->
           if
           :: callsInFlight[operation * 3 + entry]-- ; receiveCall(operation, entry)
           :: receiveCall(operation, entry) /* a copy stays in flight */
           :: callsInFlight[operation * 3 + entry]-- /* lost */
           fi
        :: cancelInFlight[operation] ->
           cancelInFlight[operation] = false;
           if
           :: receiveCancel(operation)
           :: true /* lost */
           fi
        :: callsInFlight[operation * 3 + entry] == 0 && !cancelInFlight[operation]
        fi;
        operation = 0;
        entry = 0
       }
    :: atomic {
        incarnation == 1 ->
        incarnation = 2;
        done[1] = false;
        done[2] = false;
        tombstone[1] = false;
        tombstone[2] = false
       }
    od
}

active proctype Store()
{
end:
    do
    :: atomic { storeUp && !outageUsed -> storeUp = false; outageUsed = true }
    :: atomic { !storeUp -> storeUp = true }
    od
}

proctype Entry(byte self)
{
    byte operation = 0;
    byte calls = 0;
    bool uncertain = false;

#ifdef NO_CLAIM
    operation = self;
#else
    /* Binds the key; gives up during an outage, before anything was dispatched. */
    do
    :: operation != 0 -> break
    :: atomic { operation == 0 && storeUp && !uncertain ->
        if
        :: claim == 0 ->
           claim = self;
           if
           :: operation = self
           :: !storeAnswerLost -> storeAnswerLost = true; uncertain = true
           fi
        :: claim == 0 && !storeAnswerLost -> storeAnswerLost = true; uncertain = true /* the write was lost */
        :: claim != 0 -> operation = claim
        fi
       }
    :: atomic { operation == 0 && storeUp && uncertain ->
#ifdef BLIND_REWRITE
        claim = self;
        operation = self
#else
        /* Reads back instead of writing again. */
        uncertain = false;
        operation = claim
#endif
       }
    :: atomic { operation == 0 && !storeUp ->
        toldNotRun[self] = true;
        assert(!ranFor[self]);
        goto finish
       }
    od;
#endif

    do
    :: atomic { reply[operation] == Completed -> goto finish }
    :: atomic { reply[operation] == Unknown -> goto finish }
    :: atomic { calls < CALLS -> callsInFlight[operation * 3 + self]++; calls++ }
    :: calls >= 1 -> break
    od;

    atomic { cancelInFlight[operation] = true };
    if
    :: atomic { reply[operation] == NotRun -> toldNotRun[self] = true; assert(!ranFor[self]) }
    :: reply[operation] == Completed
    :: reply[operation] == Unknown
#ifndef NO_DEADLINE
    :: true /* deadline: outcome unknown */
#endif
    fi;

finish:
    finished++
}

init
{
    atomic {
        run Entry(1);
        run Entry(2)
    }
}

ltl answered { <> (finished == ENTRIES) }
