/*
 * The change of a group's primary, with the rule of acknowledgement: a small specification of
 * src/process/promotion.*, src/connection/confirmation.* and the orders that instances obey
 * (src/standin_core/groupinstance.*).
 *
 * Three instances hold logs of at most MAXLOG entries (1 or 2), in terms up to MAXTERM; an entry is the term that wrote it. Two
 * promoters may act at any moment, stop between any two steps, and act on what they saw long ago. A
 * message may be lost or late: each step is a separate choice of the scheduler, and every step may
 * simply never be taken, which covers kills, cuts and freezes. A primary that was replaced goes on
 * believing that it leads.
 *
 * Properties:
 *   1. An acknowledged entry is in the log of the primary of every later term, and nothing else is
 *      ever acknowledged in its place (nothing is lost).
 *   2. Two promoters never both win a term.
 *   3. No entry is acknowledged through a primary at a moment when a majority has left its term.
 *
 * Mutants, each of which must violate a property:
 *   -DMUTANT=1  acknowledge what the primary alone holds
 *   -DMUTANT=2  promote without sealing a majority
 *   -DMUTANT=3  promote the longest log instead of the highest (term, index)
 *   -DMUTANT=4  acknowledge an entry of an earlier term once a majority holds it (no barrier)
 *   -DMUTANT=5  an instance adopts a term again that it is already in (seals are not exclusive)
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

/* Each instance: its term, whether it believes to be primary, and its log. */
byte term[N];
bool primary[N];
byte size[N];
byte log[N * MAXLOG];

#define ENTRY(i, k) log[(i) * MAXLOG + (k)]

/* The longest acknowledged prefix: its length and, for each place, the entry. */
byte ackLen;
byte ackLog[MAXLOG];
byte ackTerm[MAXLOG]; /* In which term the place was first acknowledged. */

/* Who was promoted in each term; N for nobody. */
byte winner[5];

byte i_;

/* The last entry's term of instance i; 0 for an empty log. */
#define LASTTERM(i) (size[i] == 0 -> 0 : ENTRY(i, (size[i] - 1)))

/* Whether the log of instance r ends higher than the best one that the promoter saw. */
#if MUTANT == 3
#define HIGHER(r) (size[r] > bestSize)
#else
#define HIGHER(r) (LASTTERM(r) > bestTerm || (LASTTERM(r) == bestTerm && size[r] > bestSize))
#endif

/* Whether instance r adopts term t when it is told to. */
#if MUTANT == 5
#define ADOPTS(r, t) (term[r] <= (t))
#else
#define ADOPTS(r, t) (term[r] < (t))
#endif

/* What was acknowledged in terms before t is in the log of instance p, the new primary of t. A late
 * promoter of a lower term need not find what a higher term acknowledged: it can acknowledge nothing. */
inline checkHolds(p, t) {
    i_ = 0;
    do
    :: i_ < ackLen ->
        assert(ackTerm[i_] >= t || (size[p] > i_ && ENTRY(p, i_) == ackLog[i_]));
        i_++
    :: else -> break
    od
}

/* A primary writes one entry of its own term. */
inline write(p) {
    atomic {
        primary[p] && size[p] < MAXLOG ->
        ENTRY(p, size[p]) = term[p];
        size[p]++
    }
}

/* Instance r takes the log of primary p, up to p's length, in p's term. Real messages carry a part of
 * it; the part up to any length is covered by taking it before p writes more. */
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

/* Whether r holds p's log up to and including place k, as p knows from r's answer in p's term. */
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

/* The gateway acknowledges p's entry at place k, and with it everything before. */
inline acknowledge(p, k) {
    atomic {
        (primary[p] && size[p] > k && ackLen <= k && ACKABLE(p, k) && MAJORITY(p, k)) ->
        /* Property 3: with p, one more instance is still in p's term. */
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

/* A promoter: seals in any order, may stop at any point, and then promotes the best of those that it
 * sealed, as it saw them when it sealed them. */
proctype Promoter() {
    byte t = 0;
    byte sealed = 0; /* How many accepted. */
    byte best = N;
    byte bestTerm = 0; /* The best one's last entry, as its answer to the seal told. */
    byte bestSize = 0;
    byte seen = 0;   /* Bit mask of sealed instances. */
    byte r = 0;
again:
    /* Chooses a term above what some instance is in; how it learnt of it does not matter. */
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
    :: true -> goto again /* Gives up, or is late for ever. */
    od;
    /* Promote: accepted only while the instance is still in the promoter's term. */
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
            /* The barrier entry. With a full log there is none, and so no acknowledgement either. */
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

/* Everything that instances and gateways do by themselves. */
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
        /* Instance 0 leads term 1 and has written its barrier, which is on no other instance yet. */
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
