/* The change of a primary whose group replicates semi-synchronously (src/session/primarychange.h).
 *
 * Three instances; the primary acknowledges an entry once one replica has received it. Two hosts, one
 * after the other or overlapping, hold the duty under growing tokens. They seal replicas, choose the
 * heir, and order its promotion; an order may be carried out late, after its sender gave up. The old
 * primary is never reached, but goes on serving until another one is promoted.
 *
 * Property: whoever is promoted holds every acknowledged entry.
 *
 * Bounds: logs of MAX_LOG entries, MAX_TOKEN claims. Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_TOKEN
#define MAX_TOKEN 3
#endif
#define N 3
#define NOBODY 9

byte length[N];     /* Entries received; all logs are prefixes of one history within a term. */
bool sealed[N];
byte primary = 0;
byte acknowledged;  /* The newest acknowledged entry. */
byte highestToken;  /* That the platform has seen carried out. */
byte lastToken;     /* Drawn from the duty's row. */
byte orderHeir = NOBODY; /* An order that is on its way. */
byte orderToken;

/* The primary appends. */
inline append() { length[primary] < MAX_LOG -> length[primary]++ }

inline replicate(i) {
    i != primary && !sealed[i] && length[i] < length[primary] -> length[i]++
}

inline acknowledge(i) {
    i != primary && length[i] > acknowledged && length[primary] > acknowledged -> acknowledged++
}

inline carryOut() {
    atomic {
        orderHeir != NOBODY;
        if
        :: orderToken >= highestToken && orderHeir != primary ->
            highestToken = orderToken;
            primary = orderHeir;
            assert(length[primary] >= acknowledged);
            sealed[primary] = false;
            byte k;
            for (k : 0 .. N - 1) {
                if
                :: length[k] > length[primary] -> length[k] = length[primary]
                :: else
                fi
            }
        :: orderToken >= highestToken && orderHeir == primary -> highestToken = orderToken
        :: else
        fi;
        orderHeir = NOBODY
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

/* One host at a time holds the duty; a later holder may begin while an order is on its way. */
active proctype Promoter()
{
    byte old, a, b, heir, token;
    do
    :: lastToken < MAX_TOKEN ->
        atomic { lastToken++; token = lastToken; old = primary; a = (old + 1) % N; b = (old + 2) % N }
        /* Seal: all but one of three have to be sealed. */
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
            :: length[a] <= length[b] -> heir = a
            :: else -> heir = b
            fi;
#else
#ifdef MUTANT_SEAL_ONE
            heir = a;
#else
            if
            :: length[a] >= length[b] -> heir = a
            :: else -> heir = b
            fi;
#endif
#endif
            if
            :: orderHeir == NOBODY -> orderHeir = heir; orderToken = token
            :: else /* An earlier order is still on its way: this one is not modelled. */
            fi
        }
        if
        :: atomic { primary == heir -> sealed[a] = false; sealed[b] = false; sealed[old] = false }
        :: skip; /* No answer: given up, and what was sealed stays sealed. */
#ifdef MUTANT_RESUME_AFTER_ORDER
            atomic { sealed[a] = false; sealed[b] = false }
#endif
        :: /* The primary stalls: it is ordered again under this token, then its replicas go. */
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
