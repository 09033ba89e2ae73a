/* The failover of a group that replicates semi-synchronously (src/session/primarychange.h).
 *
 * There are three instances. The primary acknowledges an entry once one replica has received it. Two hosts, one
 * after the other or at the same time, hold the promotion lease under increasing fencing tokens. A holder seals the
 * replicas (it makes them accept nothing more from the primary), chooses the candidate, and requests its promotion.
 * A request may be carried out late, after its sender has given up. The old primary cannot be reached, but it
 * continues to serve until another instance is promoted.
 *
 * Property: an instance that is promoted holds every acknowledged entry.
 *
 * Bounds: logs of MAX_LOG entries, MAX_TOKEN acquisitions of the lease. Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_TOKEN
#define MAX_TOKEN 3
#endif
#define N 3
#define NOBODY 9

byte length[N];     /* Number of entries received. Within a term, all logs are prefixes of one history. */
bool sealed[N];
byte primary = 0;
byte acknowledged;  /* Number of acknowledged entries. */
byte highestToken;  /* The highest token of any promotion that the platform has seen carried out. */
byte lastToken;     /* The last token that was issued, with the row of the promotion lease. */
byte requestedCandidate = NOBODY; /* The candidate in the promotion request that is on its way, if any. */
byte requestedToken; /* The fencing token of that request. */

/* The primary appends an entry. */
inline append() { length[primary] < MAX_LOG -> length[primary]++ }

/* Replica i receives the next entry, unless it is sealed. */
inline replicate(i) {
    i != primary && !sealed[i] && length[i] < length[primary] -> length[i]++
}

/* The primary acknowledges the next entry, which replica i has received. */
inline acknowledge(i) {
    i != primary && length[i] > acknowledged && length[primary] > acknowledged -> acknowledged++
}

/* The platform carries out the promotion request, unless its token is lower than one that it has seen. The other logs
 * are truncated to the length of the log of the new primary. */
inline carryOut() {
    atomic {
        requestedCandidate != NOBODY;
        if
        :: requestedToken >= highestToken && requestedCandidate != primary ->
            highestToken = requestedToken;
            primary = requestedCandidate;
            assert(length[primary] >= acknowledged);
            sealed[primary] = false;
            byte k;
            for (k : 0 .. N - 1) {
                if
                :: length[k] > length[primary] -> length[k] = length[primary]
                :: else
                fi
            }
        :: requestedToken >= highestToken && requestedCandidate == primary -> highestToken = requestedToken
        :: else
        fi;
        requestedCandidate = NOBODY
    }
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
    :: carryOut()
    od
}

/* The holders of the promotion lease, one at a time. A later holder may begin while a promotion request is on its way. */
active proctype Promoter()
{
    byte old, a, b, candidate, token;
    do
    :: lastToken < MAX_TOKEN ->
        atomic { lastToken++; token = lastToken; old = primary; a = (old + 1) % N; b = (old + 2) % N }
        /* Seal: all but one of the three instances have to be sealed. */
        if
        :: atomic { old == primary -> sealed[a] = true }
        :: atomic { old != primary -> goto done }
        fi;
#ifndef MUTANT_SEAL_ONE
        if
        :: atomic { old == primary -> sealed[b] = true }
        :: atomic { old != primary -> goto done }
        fi;
#endif
        atomic {
#ifdef MUTANT_PROMOTE_SHORTER
            if
            :: length[a] <= length[b] -> candidate = a
            :: else -> candidate = b
            fi;
#else
#ifdef MUTANT_SEAL_ONE
            candidate = a;
#else
            if
            :: length[a] >= length[b] -> candidate = a
            :: else -> candidate = b
            fi;
#endif
#endif
            if
            :: requestedCandidate == NOBODY -> requestedCandidate = candidate; requestedToken = token
            :: else /* An earlier request is still on its way; a second one at the same time is not modelled. */
            fi
        }
        if
        :: atomic { primary == candidate -> sealed[a] = false; sealed[b] = false; sealed[old] = false }
        :: skip; /* No answer: the holder gives up, and the sealed instances stay sealed. */
#ifdef MUTANT_RESUME_AFTER_ORDER
            atomic { sealed[a] = false; sealed[b] = false }
#endif
        :: /* The primary has stalled, because its replicas are sealed. The promotion of the primary itself is requested
               under a new token, and then its replicas are released. */
            atomic {
                primary == old && lastToken < MAX_TOKEN;
                lastToken++;
#ifndef MUTANT_STALLED_WITHOUT_ORDER
                highestToken = lastToken;
#endif
                sealed[a] = false;
                sealed[b] = false
            }
        fi;
done:   skip
    :: else -> break
    od
}
