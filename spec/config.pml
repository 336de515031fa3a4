/*
 * Acceptance and spread of configuration (design D12).
 *
 * Two operators each submit one change by compare-and-swap on the head of the log; one answer may be lost after the
 * write took effect and is then settled by reading back the change id. A relay learns revisions from the store while it
 * is up; the other instances learn from any peer, and updates may be delivered late. Each instance may restart once, and
 * starts from the newest revision of a ready peer or from the store; it is not ready before that. The store may be down
 * once for any time, but not for ever.
 *
 * Bounds: 2 operators, 2 changes, 3 instances, 1 restart, 1 outage, 1 lost answer, 2 delayed updates.
 * Code: ConfigLog (append, read back), ConfigRelay, ConfigReplica (apply, start).
 * Seeded faults: BLIND_RETRY, NO_REVISION_CHECK, START_EMPTY (safety); NO_ANTI_ENTROPY (liveness).
 */

#define INSTANCES 3
#define CHANGES 2

byte head = 0;                 /* newest revision in the store */
byte changeAt[CHANGES + 2];    /* change id of each revision */
byte timesLogged[CHANGES + 1];
bool storeUp = true;
bool outageUsed = false;
bool answerLost = false;

byte inForce[INSTANCES + 1];
bool ready[INSTANCES + 1] = true;
byte floor = 0;                /* revision that was in force on all ready instances at some time */
bool restartUsed = false;

chan updates = [2] of { byte, byte };  /* receiver, revision */

inline recordFloor()
{
    if
    :: ready[1] && ready[2] && ready[3] ->
       if
       :: inForce[1] <= inForce[2] && inForce[1] <= inForce[3] && inForce[1] > floor -> floor = inForce[1]
       :: inForce[2] <= inForce[1] && inForce[2] <= inForce[3] && inForce[2] > floor -> floor = inForce[2]
       :: inForce[3] <= inForce[1] && inForce[3] <= inForce[2] && inForce[3] > floor -> floor = inForce[3]
       :: else
       fi
    :: else
    fi
}

inline apply(instance, revision)
{
#ifdef NO_REVISION_CHECK
    inForce[instance] = revision;
#else
    if
    :: revision > inForce[instance] -> inForce[instance] = revision
    :: revision <= inForce[instance]
    fi;
#endif
    assert(inForce[instance] >= floor);
    recordFloor()
}

inline append(change)
{
    head++;
    changeAt[head] = change;
    timesLogged[change]++;
    assert(timesLogged[change] <= 1)
}

proctype Operator(byte change)
{
    byte base = 0;
    bool settled = false;
    bool uncertain = false;
    do
    :: settled -> break
    :: atomic { !settled && storeUp && !uncertain && base == head ->
        append(change);
        if
        :: settled = true
        :: !answerLost -> answerLost = true; uncertain = true
        fi
       }
    /* Conflict: another change came between; the operator looks at it and submits again. */
    :: atomic { !settled && storeUp && !uncertain && base != head -> base = head }
    :: atomic { !settled && storeUp && uncertain ->
#ifdef BLIND_RETRY
        uncertain = false;
        base = head
#else
        if
        :: changeAt[1] == change || changeAt[2] == change -> settled = true
        :: else -> uncertain = false; base = head
        fi
#endif
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

/* Instance 1 holds the watch. */
active proctype Relay()
{
end:
    do
    :: atomic { storeUp && ready[1] && inForce[1] < head -> apply(1, head) }
    od
}

active proctype Spread()
{
    byte receiver, revision;
end:
    do
    :: atomic { ready[1] && inForce[1] > 0 && nfull(updates) ->
        if
        :: updates!2, inForce[1]
        :: updates!3, inForce[1]
        fi
       }
    :: atomic { nempty(updates) ->
        if
        :: updates?receiver, revision
        :: len(updates) == 2 -> updates?receiver, revision; updates!receiver, revision; updates?receiver, revision
        fi;
        if
        :: ready[receiver] -> apply(receiver, revision)
        :: !ready[receiver]
        :: true /* lost */
        fi;
        receiver = 0;
        revision = 0
       }
    od
}

/* Revisions are compared in every message between two instances, so a gap is closed by the next one. */
active proctype AntiEntropyFirst()
{
end:
    do
#ifndef NO_ANTI_ENTROPY
    :: atomic { ready[1] && ready[2] && inForce[2] < inForce[1] -> apply(2, inForce[1]) }
    :: atomic { ready[1] && ready[2] && inForce[1] < inForce[2] -> apply(1, inForce[2]) }
#else
    :: false
#endif
    od
}

active proctype AntiEntropySecond()
{
end:
    do
#ifndef NO_ANTI_ENTROPY
    :: atomic { ready[1] && ready[3] && inForce[3] < inForce[1] -> apply(3, inForce[1]) }
    :: atomic { ready[1] && ready[3] && inForce[1] < inForce[3] -> apply(1, inForce[3]) }
#else
    :: false
#endif
    od
}

active proctype Restart()
{
    byte instance, peer;
    /* Which instance restarts is chosen; it forgets everything. */
    if
    :: instance = 1
    :: instance = 2
    :: instance = 3
    fi;
    peer = (instance % INSTANCES) + 1;
    atomic {
        ready[instance] = false;
        inForce[instance] = 0
    };
#ifdef START_EMPTY
    atomic { ready[instance] = true; assert(inForce[instance] >= floor) }
#else
    atomic {
        if
        :: ready[peer] -> inForce[instance] = inForce[peer]
        :: storeUp -> inForce[instance] = head
        fi;
        ready[instance] = true;
        assert(inForce[instance] >= floor);
        recordFloor()
    }
#endif
}

init
{
    atomic {
        run Operator(1);
        run Operator(2)
    }
}

#define everywhere (head == CHANGES && inForce[1] == head && inForce[2] == head && inForce[3] == head)

/* Both changes are accepted and come into force everywhere for good. */
ltl inForceEverywhere { <> [] everywhere }
