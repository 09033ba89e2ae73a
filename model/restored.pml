/* Promotion leases in a store that comes back from older copies of itself (src/session/promotionlease.h, erastart.h).
 *
 * The store has the row of one lease, a counter from which each write gets its version, and a row for each era that a host
 * has recorded. It may keep a copy at any time, and return to it at any time: rows, counter and recorded eras are then
 * those of the copy, and the next era begins. A host reads the row, records the era if the lease in it is of an earlier
 * one, waits for the holders of earlier eras, and replaces the row if it still has the version that was read and the next
 * era is not recorded. The write may be carried out late, when the host does not count on it any more.
 *
 * Waiting is modelled by its effect: the time after which a lease has ended.
 *
 * Properties: when a host acquires the lease, no other one holds it, and its token is the highest so far.
 *
 * Bounds: 2 hosts, MAX_ERA eras, versions up to MAX_VERSION. Mutants (-D): see model/check.
 */
#ifndef MAX_ERA
#define MAX_ERA 3
#endif
#ifndef MAX_VERSION
#define MAX_VERSION 5
#endif
#define HOSTS 2
#define NOBODY 9
#define TOKENS_PER_ERA 16

typedef Row {
    byte holder;
    byte token;
    byte era;
    byte version
}

typedef Write {
    bool open;
    byte version;
    byte era;       /* In which the row was read. */
    byte token
}

Row row, copiedRow;
byte counter, copiedCounter;
bool recorded[MAX_ERA + 2], copiedRecorded[MAX_ERA + 2];
byte era = 1;
bool held[HOSTS];       /* The host may act on its lease. */
byte heldEra[HOSTS];    /* In which that was acquired. */
Write late;             /* A write of host 0 whose answer it does not wait for any more. */
byte highestToken;

inline keepCopy() {
    copiedRow.holder = row.holder; copiedRow.token = row.token; copiedRow.era = row.era; copiedRow.version = row.version;
    copiedCounter = counter;
    for (k : 1 .. MAX_ERA + 1) { copiedRecorded[k] = recorded[k] }
    k = 0
}

inline restore() {
    row.holder = copiedRow.holder; row.token = copiedRow.token; row.era = copiedRow.era; row.version = copiedRow.version;
    counter = copiedCounter;
    for (k : 1 .. MAX_ERA + 1) { recorded[k] = copiedRecorded[k] }
    k = 0;
    era++
}

/* Replaces the row, if the conditions hold. */
/* A host counts only on a write that the store answers in the era of the reading. */
inline replace(host, readVersion, readEra, newToken, done) {
    done = false;
    if
#ifdef MUTANT_NO_ERA_CONDITION
    :: row.version == readVersion ->
#else
    :: row.version == readVersion && !recorded[readEra + 1] ->
#endif
        counter++;
        row.holder = host; row.token = newToken; row.era = readEra; row.version = counter;
#ifdef MUTANT_COUNT_ON_ANY_ERA
        done = true
#else
        done = era == readEra
#endif
    :: else
    fi
}

proctype Store()
{
    byte k;
    bool done;
    do
    :: atomic { era < MAX_ERA -> keepCopy() }
    :: atomic { era < MAX_ERA -> restore() }
    :: atomic { late.open && counter < MAX_VERSION ->
           replace(0, late.version, late.era, late.token, done);
           late.open = false; late.version = 0; late.era = 0; late.token = 0; done = false }
    od
}

proctype Host(byte self)
{
    byte k, readHolder, readToken, readRowEra, readVersion, readEra, token;
    byte other = 1 - self;
    bool done;
    do
    :: atomic { held[self] -> held[self] = false; heldEra[self] = 0 }
    :: !held[self] && counter + 2 < MAX_VERSION ->
        atomic {
            readHolder = row.holder; readToken = row.token; readRowEra = row.era; readVersion = row.version;
            readEra = era
        }
        if
        :: readRowEra != readEra ->
            /* Records the era in which it reads, and those before it that no host has seen. */
            atomic {
                if
                :: era != readEra -> goto again
                :: era == readEra && !recorded[era] ->
                    counter++;
#ifdef MUTANT_RECORD_ONLY_THIS_ERA
                    recorded[era] = true
#else
                    for (k : 1 .. era) { recorded[k] = true }
                    k = 0
#endif
                :: else
                fi
            }
#ifndef MUTANT_NO_WAIT
            !held[other] || heldEra[other] >= readEra
#endif
        :: else ->
            if
            :: readHolder == other && held[other] && heldEra[other] == readEra -> goto again
            :: else
            fi
        fi;
#ifdef MUTANT_TOKEN_OF_THE_ROW
        token = readToken + 1;
#else
        token = (readToken >= readEra * TOKENS_PER_ERA -> readToken + 1 : readEra * TOKENS_PER_ERA + 1);
#endif
        if
        :: atomic {
               counter < MAX_VERSION ->
               replace(self, readVersion, readEra, token, done);
               if
               :: done ->
                   held[self] = true; heldEra[self] = readEra;
                   assert(!held[other]);
                   assert(token > highestToken);
                   highestToken = token
               :: else
               fi
           }
        :: atomic {
               self == 0 && !late.open ->
               late.open = true; late.version = readVersion; late.era = readEra; late.token = token
           }
        fi;
again:  atomic {
            readHolder = 0; readToken = 0; readRowEra = 0; readVersion = 0; readEra = 0; token = 0; done = false; k = 0
        }
    :: counter + 2 >= MAX_VERSION && era == MAX_ERA -> break
    od
}

init {
    atomic {
        row.holder = NOBODY; copiedRow.holder = NOBODY;
        run Store(); run Host(0); run Host(1)
    }
}
