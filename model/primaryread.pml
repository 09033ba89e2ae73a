/* Strong reads while two instances may lead at once (src/session/readlease.h).
 *
 * Instance 0 is the primary of a group with one synchronous replica; 1 and 2 are its replicas. The platform promotes
 * instance 1 some time after it was requested to, and instance 0 goes on leading until it hears of that: it serves
 * reads, though it acknowledges nothing while both replicas are sealed. A commit that instance 1 acknowledges would be
 * missing in a read at instance 0.
 *
 * A host sends a strong read to instance 0 only if it has evidence that a replica was not sealed at an instant s, and
 * the read arrived at or before s + LEASE. The promoter requests the promotion once both replicas are sealed, and either
 * the old primary has stepped down or more than LEASE has passed since the last seal.
 *
 * Property: no read that instance 0 serves arrived after instance 1 had acknowledged a commit.
 *
 * Bounds: a clock of MAX_TIME ticks. Mutants (-D): see model/check.
 */
#ifndef MAX_TIME
#define MAX_TIME 9
#endif
#define LEASE 2

byte now;
bool sealed1, sealed2;
byte lastSeal;
bool oldLeads = true;      /* Instance 0 takes itself for the primary. */
bool steppedDown;
bool requested;            /* The promotion was requested and may be carried out at any time. */
bool promoted;
bool newAcknowledged;      /* Instance 1 has acknowledged a commit. */

/* The host. */
bool asked;                /* A query is on its way to a replica. */
byte askedAt;
bool answered;             /* The replica has answered it, and was not sealed then. */
bool evidence;
byte evidenceAt;           /* A replica was not sealed at this instant. */
bool waiting;              /* A read waits to be sent. */
bool stale;                /* It arrived after instance 1 had acknowledged a commit. */
byte arrivedAt;

active proctype Clock()
{
    do
    :: now < MAX_TIME -> now++
    :: else -> break
    od
}

active proctype Host()
{
    do
    :: atomic { !asked -> asked = true; askedAt = now; answered = false }
    :: atomic { asked && !answered && !promoted && (!sealed1 || !sealed2) -> answered = true }
    :: atomic {
        asked && answered ->
        asked = false;
        evidence = true;
#ifdef MUTANT_EVIDENCE_AT_ANSWER
        evidenceAt = now
#else
        evidenceAt = askedAt
#endif
       }
    :: atomic { asked && !answered -> asked = false } /* The answer is lost. */
    :: atomic { !waiting -> waiting = true; arrivedAt = now; stale = newAcknowledged }
    :: atomic {
        waiting && oldLeads && evidence &&
#ifdef MUTANT_ANY_EVIDENCE
        true
#else
        arrivedAt <= evidenceAt + LEASE
#endif
        -> waiting = false;
        assert(!stale)
       }
    :: atomic { waiting -> waiting = false } /* Refused. */
    :: now == MAX_TIME -> break
    od
}

active proctype Promoter()
{
    do
    :: atomic { !sealed1 -> sealed1 = true; lastSeal = now }
    :: atomic { !sealed2 -> sealed2 = true; lastSeal = now }
    :: atomic { oldLeads && !steppedDown && !promoted -> oldLeads = false; steppedDown = true }
    :: atomic {
        sealed1 && sealed2 && !requested &&
        (steppedDown ||
#ifdef MUTANT_NO_WAIT
         true
#else
#ifdef MUTANT_SHORT_WAIT
         now + 1 > lastSeal + LEASE
#else
         now > lastSeal + LEASE
#endif
#endif
        ) -> requested = true
       }
    :: atomic { requested && !promoted -> promoted = true }
    :: atomic { promoted && !newAcknowledged -> newAcknowledged = true }
    :: atomic { promoted && oldLeads -> oldLeads = false } /* It hears of its successor. */
    :: now == MAX_TIME -> break
    od
}
