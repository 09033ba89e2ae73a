/* What the holder of a promotion lease may rely on where no host reaches the old primary
 * (docs/design/change-of-primary.md), with fenced promotions. Not built yet.
 *
 * The primary completes an entry once any other instance has received it. Hosts tell callers of completed entries. The
 * lease's row announces a change before any instance is sealed. A host tells callers of an entry only while it knows that no
 * change was announced lately; when it sees an announcement it stops, and reports how far it has told. A host that is cut
 * off from the store stops too, without a report, and the holder waits for as long as that takes. The holder does not have
 * to know all instances: one starts at any time, and may never be listed.
 *
 * Property: an instance that is promoted holds every entry that a caller was told of.
 *
 * Bounds: four instances, two hosts, logs of MAX_LOG entries, MAX_CHANGE announcements. Instances that restart without their log
 * or end, and unfenced promotions, are not in this model. Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 2
#endif
#ifndef MAX_CHANGE
#define MAX_CHANGE 2
#endif
#define N 4
#define HOSTS 2
#define NOBODY 9

byte length[N];
bool running[N];
bool sealed[N];
bool listed;                /* Instance 3. */
byte primary = 0;
byte completed;             /* So many entries of the primary's log have been received by another instance. */
byte told[HOSTS];           /* So many entries is a caller of the host told of. */
bool entitled[HOSTS];       /* The host knows that no change was announced lately. */
bool reported[HOSTS];
byte report[HOSTS];
bool expired[HOSTS];        /* The host has not reported, and so much time has passed that it has stopped. */
bool announced;             /* In the lease's row. */
bool settled;               /* Each host has reported or expired. */
bool ranThen[N];            /* The instances that ran when that was so. */
byte requested = NOBODY;    /* The candidate of a request that may still be carried out. */
bool carriedOut;
bool started;

inline append() { running[primary] && length[primary] < MAX_LOG -> length[primary]++ }
inline replicate(i) {
    i != primary && running[i] && !sealed[i] && length[i] < length[primary] ->
        length[i]++;
        if
        :: length[i] > completed -> completed = length[i]
        :: else
        fi
}

active proctype Group()
{
    byte k;
    atomic { running[0] = true; running[1] = true; running[2] = true; entitled[0] = true; entitled[1] = true; started = true }
    do
    :: atomic { append() }
    :: atomic { replicate(0) }
    :: atomic { replicate(1) }
    :: atomic { replicate(2) }
    :: atomic { replicate(3) }
    :: atomic { !running[3] -> running[3] = true }
    :: atomic { running[3] && !listed -> listed = true }
    /* The request is carried out, or never. */
    :: atomic { requested != NOBODY ->
            primary = requested;
            assert(length[primary] >= told[0] && length[primary] >= told[1]);
#ifndef MUTANT_TELL_OF_THE_OLD_LOG
            /* What the old primary completed without a caller having been told stays in doubt. */
            completed = (told[0] > told[1] -> told[0] : told[1]);
#endif
            for (k : 0 .. N - 1) {
                if
                :: length[k] > length[primary] -> length[k] = length[primary]
                :: else
                fi
            }
            sealed[primary] = false;
            requested = NOBODY;
            carriedOut = true
        }
    :: atomic { requested != NOBODY -> requested = NOBODY }
    od
}

inline host(h) {
    atomic { entitled[h] && told[h] < completed -> told[h]++; assert(told[h] <= length[primary]) }
}
inline see(h) {
    atomic { announced && !reported[h] ->
#ifndef MUTANT_TELL_ON
        entitled[h] = false;
#endif
        report[h] = told[h];
        reported[h] = true
    }
}
inline lose(h) { atomic { entitled[h] -> entitled[h] = false } }
inline expire(h) {
#ifdef MUTANT_NO_WAIT
    atomic { announced && !reported[h] -> expired[h] = true }
#else
    atomic { announced && !reported[h] && !entitled[h] -> expired[h] = true }
#endif
}
inline entitle(h) { atomic { !announced && !entitled[h] -> entitled[h] = true } }

active proctype Hosts()
{
    started;
    do
    :: host(0)
    :: host(1)
    :: see(0)
    :: see(1)
    :: lose(0)
    :: lose(1)
    :: expire(0)
    :: expire(1)
    :: entitle(0)
    :: entitle(1)
    od
}

#define ALL_REPORTED (reported[0] && reported[1])
#define ALL_STOPPED ((reported[0] || expired[0]) && (reported[1] || expired[1]))
#ifdef MUTANT_REPORTS_IGNORED
#define COVERS_REPORTS(c) true
#else
#define COVERS_REPORTS(c) ((!reported[0] || length[c] >= report[0]) && (!reported[1] || length[c] >= report[1]))
#endif
/* Of the instances that ran when all hosts had stopped, each is sealed, and none is ahead of the candidate. */
#define COVERED(c, i) (i == primary || !ranThen[i] || (sealed[i] && length[c] >= length[i]))
#define COVERS_SEALS(c) (COVERED(c, 0) && COVERED(c, 1) && COVERED(c, 2) && COVERED(c, 3))
#define MAY_LEAD(c) (sealed[c] && c != primary && COVERS_REPORTS(c) && (ALL_REPORTED || (settled && COVERS_SEALS(c))))

inline noteRunning() {
    for (k : 0 .. N - 1) { ranThen[k] = running[k] }
}

active proctype Holder()
{
    byte change, k;
    started;
    do
    :: change < MAX_CHANGE ->
        atomic {
            change++;
            announced = true;
            settled = false;
            carriedOut = false;
            for (k : 0 .. HOSTS - 1) { reported[k] = false; expired[k] = false }
#ifdef MUTANT_LIST_OF_THE_ANNOUNCEMENT
            noteRunning()
#endif
        };
sealing:
        do
        :: atomic { primary != 0 && !sealed[0] -> sealed[0] = true }
        :: atomic { primary != 1 && !sealed[1] -> sealed[1] = true }
        :: atomic { primary != 2 && !sealed[2] -> sealed[2] = true }
        :: atomic { primary != 3 && listed && !sealed[3] -> sealed[3] = true }
        :: atomic { ALL_STOPPED && !settled ->
                settled = true;
#ifndef MUTANT_LIST_OF_THE_ANNOUNCEMENT
                noteRunning()
#endif
            }
        :: atomic { MAY_LEAD(0) -> requested = 0; break }
        :: atomic { MAY_LEAD(1) -> requested = 1; break }
        :: atomic { MAY_LEAD(2) -> requested = 2; break }
        :: atomic { MAY_LEAD(3) -> requested = 3; break }
        /* It gives up: the primary works again. */
        :: atomic { announced = false; for (k : 0 .. N - 1) { sealed[k] = false }; goto next }
        od;
#ifdef MUTANT_CLEARED_EARLY
        atomic { announced = false; for (k : 0 .. N - 1) { sealed[k] = false } };
#endif
        atomic { requested == NOBODY ->
            /* If it was not carried out, the row goes on announcing a change. */
            if
            :: carriedOut -> announced = false; for (k : 0 .. N - 1) { sealed[k] = false }
            :: else
            fi
        };
next:
        skip
    :: else -> break
    od
}
