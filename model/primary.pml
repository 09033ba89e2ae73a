/*
 * The failover of a group and the rule of acknowledgement: a small specification of src/process/promotion.*,
 * src/connection/majoritytracker.* and the commands that instances carry out (src/standin_core/targetinstance.*).
 *
 * Three instances hold logs of at most MAXLOG entries (1 or 2), in terms up to MAXTERM. An entry is represented by the
 * term that wrote it. Two promoters may act at any moment, stop between any two steps, and act on information that
 * is out of date. A message may be lost or late: each step is a separate choice of the scheduler, and any step may
 * never be taken, which covers killed processes, broken links and suspended processes. A primary that was replaced
 * continues to regard itself as primary.
 *
 * To seal an instance means to make it adopt a higher term and accept nothing more from a primary of a lower one. The
 * barrier is the entry that a new primary writes first, in its own term.
 *
 * Properties:
 *   1. An acknowledged entry is in the log of the primary of every later term, and no other entry is ever
 *      acknowledged in its place (no acknowledged entry is lost).
 *   2. Two promoters never both win the same term.
 *   3. No entry is acknowledged through a primary at a moment when a majority has left its term.
 *
 * Mutants, each of which must violate a property:
 *   -DMUTANT=1  acknowledge an entry that only the primary holds
 *   -DMUTANT=2  promote without sealing a majority
 *   -DMUTANT=3  promote the instance with the longest log instead of the highest (term, index)
 *   -DMUTANT=4  acknowledge an entry of an earlier term once a majority holds it (no barrier)
 *   -DMUTANT=5  an instance adopts a term that it is already in (seals are not exclusive)
 */

#ifndef MUTANT
#define MUTANT 0
#endif

#define N 3
#ifndef MAXLOG
#define MAXLOG 2
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif

/* For each instance: its term, whether it regards itself as primary, and its log. */
byte term[N];
bool primary[N];
byte size[N];
byte log[N * MAXLOG];

#define ENTRY(i, k) log[(i) * MAXLOG + (k)]

/* The longest acknowledged prefix of the log: its length and its entries. */
byte ackLen;
byte ackLog[MAXLOG];
byte ackTerm[MAXLOG]; /* The term in which the entry was first acknowledged. */

/* The instance that was promoted in each term; N if none was. */
byte winner[5];

byte i_;

/* The term of the last entry of instance i; 0 for an empty log. */
#define LASTTERM(i) (size[i] == 0 -> 0 : ENTRY(i, (size[i] - 1)))

/* Whether the last entry of instance r has a higher position than the best one that the promoter has seen. */
#if MUTANT == 3
#define HIGHER(r) (size[r] > bestSize)
#else
#define HIGHER(r) (LASTTERM(r) > bestTerm || (LASTTERM(r) == bestTerm && size[r] > bestSize))
#endif

/* Whether instance r adopts term t when it is commanded to. */
#if MUTANT == 5
#define ADOPTS(r, t) (term[r] <= (t))
#else
#define ADOPTS(r, t) (term[r] < (t))
#endif

/* Checks that the log of instance p, the new primary of term t, contains every entry that was acknowledged in a term
 * before t. A late promotion in a lower term need not contain what a higher term acknowledged, because its primary
 * cannot acknowledge anything. */
inline checkHolds(p, t) {
    i_ = 0;
    do
    :: i_ < ackLen ->
        assert(ackTerm[i_] >= t || (size[p] > i_ && ENTRY(p, i_) == ackLog[i_]));
        i_++
    :: else -> break
    od
}

/* Primary p writes one entry of its own term. */
inline write(p) {
    atomic {
        primary[p] && size[p] < MAXLOG ->
        ENTRY(p, size[p]) = term[p];
        size[p]++
    }
}

/* Instance r copies the whole log of primary p, in p's term. Real messages carry a part of the log. A copy of the log
 * up to any length is covered, because r may copy it before p writes more. */
inline replicate(p, r) {
    atomic {
        (primary[p] && p != r && term[r] <= term[p] && !(primary[r] && term[r] == term[p]) &&
         (term[r] < term[p] || size[r] != size[p] || LASTTERM(r) != LASTTERM(p))) ->
        term[r] = term[p];
        primary[r] = false;
        size[r] = size[p];
        i_ = 0;
        do
        :: i_ < MAXLOG -> ENTRY(r, i_) = (i_ < size[p] -> ENTRY(p, i_) : 0); i_++
        :: else -> break
        od;
        i_ = 0
    }
}

/* Whether r holds p's log up to and including index k, as p knows from r's answer in p's term. */
#if MUTANT == 4
#define HOLDS(p, r, k) (term[r] == term[p] && size[r] > (k) && ENTRY(r, k) == ENTRY(p, k))
#define ACKABLE(p, k) true
#else
#define HOLDS(p, r, k) (term[r] == term[p] && size[r] > (k) && ENTRY(r, k) == ENTRY(p, k) && LASTTERM(r) == term[p])
#define ACKABLE(p, k) (ENTRY(p, k) == term[p])
#endif

#if MUTANT == 1
#define MAJORITY(p, k) true
#else
#define MAJORITY(p, k) (HOLDS(p, ((p + 1) % N), k) || HOLDS(p, ((p + 2) % N), k))
#endif

/* The gateway acknowledges p's entry at index k, and thereby all entries before it. */
inline acknowledge(p, k) {
    atomic {
        (primary[p] && size[p] > k && ackLen <= k && ACKABLE(p, k) && MAJORITY(p, k)) ->
        /* Property 3: besides p, at least one more instance is still in p's term. */
        assert(term[(p + 1) % N] == term[p] || term[(p + 2) % N] == term[p]);
        i_ = 0;
        do
        :: i_ < ackLen -> assert(ENTRY(p, i_) == ackLog[i_]); i_++
        :: else -> break
        od;
        i_ = 0;
        do
        :: i_ <= k ->
            ackLog[i_] = ENTRY(p, i_);
            if
            :: i_ >= ackLen -> ackTerm[i_] = term[p]
            :: else -> skip
            fi;
            i_++
        :: else -> break
        od;
        i_ = 0;
        ackLen = k + 1
    }
}

/* A promoter. It seals instances in any order, may stop at any point, and then promotes the best instance among those
 * that it sealed, judged by their state at the time when it sealed them. */
proctype Promoter() {
    byte t = 0;
    byte sealed = 0; /* Number of instances that accepted the seal. */
    byte best = N;
    byte bestTerm = 0; /* The last entry of the best instance, from its answer to the seal. */
    byte bestSize = 0;
    byte seen = 0;   /* Bit mask of the sealed instances. */
    byte r = 0;
again:
    /* Choose a term above that of some instance. How the promoter knows of it does not matter. */
    atomic {
        if
        :: t = term[0] + 1
        :: t = term[1] + 1
        :: t = term[2] + 1
        fi;
        if
        :: t > MAXTERM -> goto done
        :: else -> skip
        fi;
        sealed = 0; best = N; bestTerm = 0; bestSize = 0; seen = 0
    }
    do
    :: atomic {
        select(r : 0 .. 2);
        if
        :: ((seen & (1 << r)) == 0 && ADOPTS(r, t)) ->
            term[r] = t;
            primary[r] = false;
            seen = seen | (1 << r);
            sealed++;
            if
            :: best == N || HIGHER(r) ->
                best = r;
                bestTerm = LASTTERM(r);
                bestSize = size[r]
            :: else -> skip
            fi
        :: else -> skip
        fi;
        r = 0
    }
#if MUTANT == 2
    :: sealed >= 1 -> break
#else
    :: sealed >= 2 -> break
#endif
    :: true -> goto again /* The promoter gives up, or is delayed for ever. */
    od;
    /* Promote. The instance accepts only while it is still in the promoter's term. */
    atomic {
        if
        :: term[best] == t && !primary[best] ->
            /* Property 2. */
            assert(winner[t] == N);
            winner[t] = best;
            primary[best] = true;
            /* Property 1. */
            checkHolds(best, t);
            i_ = 0;
#if MUTANT != 4
            /* The barrier entry. If the log is full, there is none, and therefore no acknowledgement either. */
            if
            :: size[best] < MAXLOG ->
                ENTRY(best, size[best]) = t;
                size[best]++
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi
    };
    goto again;
done:
    skip
}

/* Everything that instances and gateways do on their own. */
proctype World() {
    do
    :: write(0)
    :: write(1)
    :: write(2)
    :: replicate(0, 1)
    :: replicate(0, 2)
    :: replicate(1, 0)
    :: replicate(1, 2)
    :: replicate(2, 0)
    :: replicate(2, 1)
    :: acknowledge(0, 0)
    :: acknowledge(1, 0)
    :: acknowledge(2, 0)
#if MAXLOG > 1
    :: acknowledge(0, 1)
    :: acknowledge(1, 1)
    :: acknowledge(2, 1)
#endif
    od
}

init {
    atomic {
        /* Instance 0 is primary of term 1 and has written its barrier entry, which no other instance holds yet. */
        term[0] = 1; term[1] = 1; term[2] = 1;
        primary[0] = true;
        size[0] = 1;
        ENTRY(0, 0) = 1;
        winner[0] = N; winner[1] = 0; winner[2] = N; winner[3] = N; winner[4] = N;
        run Promoter();
        run Promoter();
        run World()
    }
}
