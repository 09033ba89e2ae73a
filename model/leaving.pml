/* The replacement of a primary that leaves but still serves by seals, with fenced promotions. A primary that answers is
 * replaced by model/handover.pml since; of this model, src/session/primaryseals.cpp has the way in which all replicas are
 * sealed, and the rules for open requests.
 *
 * There are three instances, and the primary acknowledges an entry once one replica has received it. Holders of the
 * promotion lease follow each other under increasing fencing tokens. A holder seals one replica, so that the other one,
 * its candidate, is the only receiver, and requests the candidate's promotion once that has caught up. If it does not
 * catch up, the holder seals it too, and the longer one becomes the candidate. A request may be carried out late, after
 * later holders have begun. While it may be, the lease's row names its candidate: a holder chooses another one only if all
 * others are sealed, and a holder that requests nothing leaves the replicas sealed.
 *
 * Property: an instance that is promoted holds every acknowledged entry.
 *
 * Bounds: logs of MAX_LOG entries, MAX_TOKEN holders, one request of each. Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_TOKEN
#define MAX_TOKEN 3
#endif
#define N 3
#define NOBODY 9

byte length[N];
bool sealed[N];
byte primary = 0;
byte acknowledged;
byte highestToken;              /* The highest token of any promotion that was carried out. */
byte requested[MAX_TOKEN + 1] = NOBODY; /* The candidate of the open request under each token. */

inline append() { length[primary] < MAX_LOG -> length[primary]++ }
inline replicate(i) { i != primary && !sealed[i] && length[i] < length[primary] -> length[i]++ }
inline acknowledge(i) {
    i != primary && length[i] > acknowledged && length[primary] > acknowledged -> acknowledged++
}

/* The platform carries out the request under the token, unless it has seen a higher one. */
inline carryOut(token) {
    requested[token] != NOBODY ->
        if
        :: token >= highestToken ->
            highestToken = token;
            if
            :: requested[token] != primary ->
                primary = requested[token];
                assert(length[primary] >= acknowledged);
                sealed[primary] = false;
                for (k : 0 .. N - 1) {
                    if
                    :: length[k] > length[primary] -> length[k] = length[primary]
                    :: else
                    fi
                }
            :: else
            fi
        :: else
        fi;
        requested[token] = NOBODY
}

active proctype Group()
{
    byte k;
    do
    :: atomic { append() }
    :: atomic { replicate(0) }
    :: atomic { replicate(1) }
    :: atomic { replicate(2) }
    :: atomic { acknowledge(0) }
    :: atomic { acknowledge(1) }
    :: atomic { acknowledge(2) }
    :: atomic { carryOut(1) }
    :: atomic { carryOut(2) }
    :: atomic { carryOut(3) }
    od
}

/* Sets `open` to the candidate of a request that may still be carried out, which the lease's row names. */
inline findOpen() {
    open = NOBODY;
    for (k : 1 .. MAX_TOKEN) {
        if
        :: requested[k] != NOBODY -> open = requested[k]
        :: else
        fi
    }
}

active proctype Holders()
{
    byte token, old, other, candidate, open, k;
    do
    :: token < MAX_TOKEN ->
        atomic {
            token++;
            old = primary;
            if
            :: candidate = (old + 1) % N; other = (old + 2) % N
            :: candidate = (old + 2) % N; other = (old + 1) % N
            fi;
            findOpen();
#ifndef MUTANT_FREE_CHOICE
            if
            :: open == other -> k = candidate; candidate = other; other = k
            :: else
            fi
#endif
        }
        if
        :: atomic { old == primary -> sealed[other] = true }
        :: atomic { old != primary -> goto done }
        fi;
        if
        :: /* The candidate has caught up. */
            atomic {
#ifdef MUTANT_NO_CATCH_UP
                old == primary -> requested[token] = candidate
#else
                (old == primary && length[candidate] >= length[other]) -> requested[token] = candidate
#endif
            }
        :: /* It has not: all replicas are sealed, and the longer one is promoted. */
#ifdef MUTANT_CANDIDATE_RECEIVES
            skip;
#else
            atomic { old == primary -> sealed[candidate] = true };
#endif
            atomic {
                findOpen();
                if
                :: length[other] > length[candidate] ->
#ifndef MUTANT_FREE_CHOICE
                    /* The open candidate lacks entries. If it became primary now, it could acknowledge nothing. */
                    if
                    :: open != NOBODY && open != old -> sealed[old] = true
                    :: else
                    fi;
#endif
                    k = candidate; candidate = other; other = k
                :: else
                fi;
                requested[token] = candidate
            }
        :: /* It requests nothing. */
            atomic {
                findOpen();
#ifdef MUTANT_RESUME_DESPITE_EARLIER_REQUEST
                open = NOBODY;
#endif
                if
                :: open == NOBODY -> sealed[0] = false; sealed[1] = false; sealed[2] = false
                :: else
                fi
            }
            goto done
        fi;
        if
        :: atomic { primary == candidate -> sealed[old] = false; sealed[other] = false }
        :: skip /* No answer: the replicas stay sealed. */
        fi;
done:   skip
    :: else -> break
    od
}
