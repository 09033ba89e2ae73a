/* Promotion leases in a store that comes back from older copies of itself (src/session/promotionlease.h, epochstart.h).
 *
 * The store has the row of one lease, a counter from which each write gets its version, and a row for each epoch that a host
 * has recorded. It may keep a copy at any time, and return to it at any time: rows, counter and recorded epochs are then
 * those of the copy, and the next epoch begins. A host reads the row, records the epoch if the lease in it is of an earlier
 * one, waits for the holders of earlier epochs, and replaces the row if it still has the version that was read and the next
 * epoch is not recorded. The write may be carried out late, when the host does not count on it any more.
 *
 * Waiting is modelled by its effect: the time after which a lease has ended.
 *
 * Properties: when a host acquires the lease, no other one holds it, and its token is the highest so far.
 *
 * Bounds: 2 hosts, MAX_EPOCH epochs, versions up to MAX_VERSION. Mutants (-D): see model/check.
 */
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#endif
#ifndef MAX_VERSION
#define MAX_VERSION 5
#endif
#define HOSTS 2
#define NOBODY 9
#define TOKENS_PER_EPOCH 16

typedef Row {
    byte holder;
    byte token;
    byte epoch;
    byte version
}

typedef Write {
    bool open;
    byte version;
    byte epoch;       /* In which the row was read. */
    byte token
}

Row row, copiedRow;
byte counter, copiedCounter;
bool recorded[MAX_EPOCH + 2], copiedRecorded[MAX_EPOCH + 2];
byte epoch = 1;
bool held[HOSTS];       /* The host may act on its lease. */
byte heldEpoch[HOSTS];    /* In which that was acquired. */
Write late;             /* A write of host 0 whose answer it does not wait for any more. */
byte highestToken;

inline keepCopy() {
    copiedRow.holder = row.holder; copiedRow.token = row.token; copiedRow.epoch = row.epoch; copiedRow.version = row.version;
    copiedCounter = counter;
    for (k : 1 .. MAX_EPOCH + 1) { copiedRecorded[k] = recorded[k] }
    k = 0
}

inline restore() {
    row.holder = copiedRow.holder; row.token = copiedRow.token; row.epoch = copiedRow.epoch; row.version = copiedRow.version;
    counter = copiedCounter;
    for (k : 1 .. MAX_EPOCH + 1) { recorded[k] = copiedRecorded[k] }
    k = 0;
    epoch++
}

/* Replaces the row, if the conditions hold. */
/* A host counts only on a write that the store answers in the epoch of the reading. */
inline replace(host, readVersion, readEpoch, newToken, done) {
    done = false;
    if
#ifdef MUTANT_NO_EPOCH_CONDITION
    :: row.version == readVersion ->
#else
    :: row.version == readVersion && !recorded[readEpoch + 1] ->
#endif
        counter++;
        row.holder = host; row.token = newToken; row.epoch = readEpoch; row.version = counter;
#ifdef MUTANT_COUNT_ON_ANY_EPOCH
        done = true
#else
        done = epoch == readEpoch
#endif
    :: else
    fi
}

proctype Store()
{
    byte k;
    bool done;
    do
    :: atomic { epoch < MAX_EPOCH -> keepCopy() }
    :: atomic { epoch < MAX_EPOCH -> restore() }
    :: atomic { late.open && counter < MAX_VERSION ->
           replace(0, late.version, late.epoch, late.token, done);
           late.open = false; late.version = 0; late.epoch = 0; late.token = 0; done = false }
    od
}

proctype Host(byte self)
{
    byte k, readHolder, readToken, readRowEpoch, readVersion, readEpoch, token;
    byte other = 1 - self;
    bool done;
    do
    :: atomic { held[self] -> held[self] = false; heldEpoch[self] = 0 }
    :: !held[self] && counter + 2 < MAX_VERSION ->
        atomic {
            readHolder = row.holder; readToken = row.token; readRowEpoch = row.epoch; readVersion = row.version;
            readEpoch = epoch
        }
        if
        :: readRowEpoch != readEpoch ->
            /* Records the epoch in which it reads, and those before it that no host has seen. */
            atomic {
                if
                :: epoch != readEpoch -> goto again
                :: epoch == readEpoch && !recorded[epoch] ->
                    counter++;
#ifdef MUTANT_RECORD_ONLY_THIS_EPOCH
                    recorded[epoch] = true
#else
                    for (k : 1 .. epoch) { recorded[k] = true }
                    k = 0
#endif
                :: else
                fi
            }
#ifndef MUTANT_NO_WAIT
            !held[other] || heldEpoch[other] >= readEpoch
#endif
        :: else ->
            if
            :: readHolder == other && held[other] && heldEpoch[other] == readEpoch -> goto again
            :: else
            fi
        fi;
#ifdef MUTANT_TOKEN_OF_THE_ROW
        token = readToken + 1;
#else
        token = (readToken >= readEpoch * TOKENS_PER_EPOCH -> readToken + 1 : readEpoch * TOKENS_PER_EPOCH + 1);
#endif
        if
        :: atomic {
               counter < MAX_VERSION ->
               replace(self, readVersion, readEpoch, token, done);
               if
               :: done ->
                   held[self] = true; heldEpoch[self] = readEpoch;
                   assert(!held[other]);
                   assert(token > highestToken);
                   highestToken = token
               :: else
               fi
           }
        :: atomic {
               self == 0 && !late.open ->
               late.open = true; late.version = readVersion; late.epoch = readEpoch; late.token = token
           }
        fi;
again:  atomic {
            readHolder = 0; readToken = 0; readRowEpoch = 0; readVersion = 0; readEpoch = 0; token = 0; done = false; k = 0
        }
    :: counter + 2 >= MAX_VERSION && epoch == MAX_EPOCH -> break
    od
}

init {
    atomic {
        row.holder = NOBODY; copiedRow.holder = NOBODY;
        run Store(); run Host(0); run Host(1)
    }
}
