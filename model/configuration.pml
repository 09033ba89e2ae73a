/* A configuration's way from the platform's store to all hosts of a data centre (src/session/bulletin.h and the
 * session server's feed).
 *
 * One host reads the store and the others ask it; whoever finds the reader cut off reads the store itself. The
 * operators write versions, the store drops its history, turns a host away for good, and answers late; hosts
 * restart and know nothing then.
 *
 * Properties: within one life of its process a host never goes back to a lower version; when nothing
 * changes any more, every host that reaches the store, or a host that does, has the newest version.
 *
 * Bounds: HOSTS hosts, MAX_VERSION versions, one of each failure. Mutants (-D): see model/check.
 */
#define HOSTS 3
#define MAX_VERSION 3
#define NOTHING 0

byte version = 1;       /* In the store. */
byte historyFrom = 1;   /* Changes after this version are still kept. */
bool turnedAway[HOSTS]; /* By the store. */
byte known[HOSTS];      /* In force; 0 after a start. */
byte cursor[HOSTS];     /* Changes up to here are known; 0: reads the whole. */
byte late[HOSTS];       /* An answer of the store on its way to the host. */
byte reader;            /* The host that the others ask. */
bool historyDropped, restarted, awayUsed;

inline take(h, v) {
#ifdef MUTANT_TAKE_ANY_VERSION
    assert(v >= known[h]);
    known[h] = v
#else
    if
    :: v > known[h] -> known[h] = v
    :: else -> skip
    fi
#endif
}

/* Whether the host reads the store itself. */
#ifdef MUTANT_NO_FALLBACK
#define READS(h) (h == reader)
#else
#define READS(h) (h == reader || turnedAway[reader])
#endif

proctype Operators() {
    do
    :: atomic { version < MAX_VERSION -> version++ }
    :: version == MAX_VERSION -> break
    od
}

proctype Failures() {
    byte h;
    do
    :: atomic { !historyDropped -> historyDropped = true; historyFrom = version }
    :: atomic { !awayUsed -> awayUsed = true; select(h : 0 .. HOSTS - 1); turnedAway[h] = true }
    :: atomic { !restarted -> restarted = true; select(h : 0 .. HOSTS - 1);
                known[h] = 0; cursor[h] = 0; late[h] = NOTHING }
    :: break
    od
}

proctype Host(byte h) {
    do
    /* The store answers; the answer may arrive after newer ones. */
    :: atomic { READS(h) && !turnedAway[h] && cursor[h] == 0 ->
                if
                :: late[h] == NOTHING -> late[h] = version
                :: skip
                fi;
                take(h, version); cursor[h] = version }
    :: atomic { READS(h) && !turnedAway[h] && cursor[h] > 0 && cursor[h] < version ->
                if
                :: cursor[h] < historyFrom ->
#ifdef MUTANT_KEEP_CURSOR
                   cursor[h] = version
#else
                   cursor[h] = 0
#endif
                :: else -> take(h, version); cursor[h] = version
                fi }
    :: atomic { late[h] != NOTHING -> take(h, late[h]); late[h] = NOTHING }
    /* The others' word. */
    :: atomic { h != reader && known[reader] > known[h] -> take(h, known[reader]) }
    /* Nothing is left to do for anybody. */
    :: timeout ->
       assert(known[h] == version || (turnedAway[h] && turnedAway[reader]));
       break
    od
}

init {
    atomic {
        select(reader : 0 .. HOSTS - 1);
        run Operators();
        run Failures();
        run Host(0);
        run Host(1);
        run Host(2)
    }
}
