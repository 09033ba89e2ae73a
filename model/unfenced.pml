/* Changes of the primary on a platform that checks no fencing token (src/session/primarychange.h).
 *
 * As promotion.pml, but the platform carries out every promotion that was ever requested, in any order, until it has
 * been dropped: a request without an answer may be carried out after newer ones. The promotion lease has one holder at
 * a time. Before a holder requests a promotion it writes the candidate into the lease's row; as long as a request for
 * that candidate may be carried out, later holders finish the same candidate, and let replicas that are still sealed
 * receive again only after a promotion of theirs has taken place.
 *
 * Property: an instance that is promoted holds every acknowledged entry.
 *
 * Bounds: logs of MAX_LOG entries, MAX_CHANGES leases. Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_CHANGES
#define MAX_CHANGES 3
#endif
#define N 3
#define NOBODY 9

byte length[N];
bool sealed[N];
byte primary = 0;
byte acknowledged;
byte changes;
bool underway[N];          /* A promotion of the instance was requested and may still be carried out. */
byte rowCandidate = NOBODY; /* The candidate in the lease's row. */

inline append() { length[primary] < MAX_LOG -> length[primary]++ }

inline replicate(i) {
    i != primary && !sealed[i] && length[i] < length[primary] -> length[i]++
}

inline acknowledge(i) {
    i != primary && length[i] > acknowledged && length[primary] > acknowledged -> acknowledged++
}

inline carryOut(i) {
    underway[i] ->
    if
    :: true -> underway[i] = false
    :: true /* The request was sent twice; the second one is still on its way. */
    fi;
    if
    :: i != primary ->
        primary = i;
        assert(length[primary] >= acknowledged);
        sealed[primary] = false;
        byte k;
        for (k : 0 .. N - 1) {
            if
            :: length[k] > length[primary] -> length[k] = length[primary]
            :: else
            fi
        }
    :: else
    fi
}

active proctype Group()
{
    do
    :: atomic { append() }
    :: atomic { replicate(0) }
    :: atomic { replicate(1) }
    :: atomic { replicate(2) }
    :: atomic { acknowledge(0) }
    :: atomic { acknowledge(1) }
    :: atomic { acknowledge(2) }
    :: atomic { carryOut(0) }
    :: atomic { carryOut(1) }
    :: atomic { carryOut(2) }
    od
}

active proctype Holders()
{
    byte old, a, b, candidate;
    do
    :: changes < MAX_CHANGES ->
        atomic { changes++; old = primary; a = (old + 1) % N; b = (old + 2) % N }
        if
        :: atomic { old == primary -> sealed[a] = true }
        :: atomic { old != primary -> goto done }
        fi;
        if
        :: atomic { old == primary -> sealed[b] = true }
        :: atomic { old != primary -> goto done }
        fi;
        /* Choose the candidate: the one of the row while a request for it may still be carried out. */
        atomic {
            if
            :: length[a] >= length[b] -> candidate = a
            :: else -> candidate = b
            fi;
#ifndef MUTANT_FREE_CHOICE
            if
            :: rowCandidate != NOBODY && underway[rowCandidate] && rowCandidate == old ->
                goto done /* Nothing to finish: it leads. Wait until no request is underway. */
            :: rowCandidate != NOBODY && underway[rowCandidate] && rowCandidate != old ->
                if
                :: length[rowCandidate] >= length[candidate] -> candidate = rowCandidate
                :: else -> goto done
                fi
            :: else
            fi;
#endif
#ifndef MUTANT_NO_RECORD
            rowCandidate = candidate
#endif
        }
        atomic { old == primary -> underway[candidate] = true }
        if
        :: atomic {
            primary == candidate ->
            sealed[a] = false; sealed[b] = false; sealed[old] = false;
#ifdef MUTANT_FORGET_AFTER_SUCCESS
            rowCandidate = NOBODY;
#else
            if
            :: !underway[candidate] -> rowCandidate = NOBODY
            :: else
            fi
#endif
           }
        :: skip; /* No answer: the sealed instances stay sealed. */
#ifdef MUTANT_RESUME_AFTER_REQUEST
            atomic { sealed[a] = false; sealed[b] = false }
#endif
        fi;
done:   skip
    :: else -> break
    od
}
