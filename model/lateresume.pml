/* Changes of a primary while commands are carried out late (src/session/primarychange.h), with fenced promotions.
 *
 * There are three instances, and the primary acknowledges an entry once one replica has received it. Holders of the
 * promotion lease follow each other. A holder seals the replicas, requests a promotion, and lets the sealed ones receive
 * again once it is in effect. A resume without an answer is repeated and carried out late; it undoes whatever seal is in
 * effect by then. The lease's row names the instances that may get a resume; those at which one may still be carried out
 * stay named for the next holder. A named instance is not sealed. It counts if it is the candidate, which then receives
 * until its promotion, or if the primary has stepped down and it was sealed afterwards.
 *
 * Property: an instance that is promoted holds every acknowledged entry.
 *
 * Bounds: logs of MAX_LOG entries, MAX_HOLDERS holders, one late resume of each instance at a time. Mutants (-D): see
 * model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef MAX_HOLDERS
#define MAX_HOLDERS 3
#endif
#define N 3
#define NOBODY 9

byte length[N];
bool sealed[N];
bool late[N];  /* A resume may still be carried out at the instance. */
bool named[N]; /* By the lease's row. */
byte primary = 0;
bool leads = true; /* The primary has not stepped down. */
byte acknowledged;

inline append() { leads && length[primary] < MAX_LOG -> length[primary]++ }
inline replicate(i) { leads && i != primary && !sealed[i] && length[i] < length[primary] -> length[i]++ }
inline acknowledge(i) {
    leads && i != primary && length[i] > acknowledged && length[primary] > acknowledged -> acknowledged++
}
inline resumeLate(i) { late[i] -> late[i] = false; sealed[i] = false }

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
    :: atomic { resumeLate(0) }
    :: atomic { resumeLate(1) }
    :: atomic { resumeLate(2) }
    od
}

/* The time of a resume that was carried out, or never came, is over. */
inline expire(i) {
    if
    :: !late[i] -> named[i] = false
    :: skip
    fi
}

inline seal(i) {
#ifdef MUTANT_COUNT_NAMED
    sealed[i] = true
#else
    if
    :: named[i] -> skip
    :: else -> sealed[i] = true
    fi
#endif
}

/* Lets the instance receive again. The first resume may stay without an answer; the repeated one has one. */
inline resume(i) {
    if
    :: sealed[i] ->
#ifndef MUTANT_RECORD_AFTER_ANSWER
        named[i] = true;
#endif
        if
        :: late[i] = true
        :: skip
        fi;
        if
        :: sealed[i] = false; /* The repeated one is carried out. */
#ifdef MUTANT_FORGET_AFTER_ANSWER
            named[i] = false
#else
            if
            :: !late[i] -> named[i] = false
            :: else -> named[i] = true
            fi
#endif
        :: skip /* The holder ends before it repeats it. */
        fi
    :: else
    fi
}

/* Whether the candidate may be promoted: enough seals hold, and it covers them. */
#ifdef MUTANT_COUNT_NAMED
#define MAY_PROMOTE(c, o) (sealed[c] && sealed[o] && length[c] >= length[o])
#else
#define MAY_PROMOTE(c, o) ((sealed[c] || named[c]) && sealed[o] && !named[o] && length[c] >= length[o])
#endif

active proctype Holders()
{
    byte holder, old, first, second, candidate, k;
    do
    :: holder < MAX_HOLDERS ->
        atomic {
            holder++;
            old = primary;
            first = (old + 1) % N;
            second = (old + 2) % N;
            candidate = NOBODY;
            expire(0);
            expire(1);
            expire(2)
        }
        atomic { seal(first) }
        atomic { seal(second) }
        if
        :: atomic { MAY_PROMOTE(first, second) -> candidate = first }
        :: atomic { MAY_PROMOTE(second, first) -> candidate = second }
        :: /* The primary can be reached, and steps down. */
#ifdef MUTANT_NOT_SEALED_ANEW
            atomic { k = (length[first] >= length[second] -> first : second) };
            atomic { leads = false; candidate = k }
#else
            atomic { leads = false };
            atomic { sealed[first] = true };
            atomic { sealed[second] = true };
            atomic { candidate = (length[first] >= length[second] -> first : second) }
#endif
        :: goto done /* It ends. What it sealed stays so. */
        fi;
        atomic {
            primary = candidate;
            leads = true;
            assert(length[primary] >= acknowledged);
            sealed[primary] = false;
            for (k : 0 .. N - 1) {
                if
                :: length[k] > length[primary] -> length[k] = length[primary]
                :: else
                fi
            }
        }
        atomic { resume(0) }
        atomic { resume(1) }
        atomic { resume(2) }
done:   skip
    :: else -> break
    od
}
