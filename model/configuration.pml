/* How a configuration gets from the platform's store to all hosts of a data centre
 * (src/session/platformcache.h and the platform feed of the session server).
 *
 * One host, the platform reader, reads the store, and the other hosts request the configuration from it. A host
 * that finds that the platform reader is cut off from the store reads the store itself. Operators write new
 * versions. The store may drop its history of changes, reject a host permanently, and answer late. Hosts may
 * restart, and then know nothing.
 *
 * Properties: between two restarts, a host never returns to a lower version. When nothing changes any more, every
 * host that can reach the store, or for which the platform reader can, has the newest version.
 *
 * Bounds: HOSTS hosts, MAX_VERSION versions, one failure of each kind. Mutants (-D): see model/check.
 */
#define HOSTS 3
#define MAX_VERSION 3
#define NOTHING 0

byte version = 1;       /* The newest version in the store. */
byte historyFrom = 1;   /* The store still has the changes after this version. */
bool turnedAway[HOSTS]; /* Whether the store rejects the host. */
byte known[HOSTS];      /* The version that the host uses; 0 after a start. */
byte cursor[HOSTS];     /* The host has read all changes up to this version; 0: it reads the whole configuration. */
byte late[HOSTS];       /* The version in a delayed answer of the store to the host. */
byte reader;            /* The platform reader. */
bool historyDropped, restarted, awayUsed;

/* Host h receives version v, and uses it if it is newer. */
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
    /* The store answers. A copy of the answer may arrive again after newer ones. */
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
    /* The answer of the platform reader to another host. */
    :: atomic { h != reader && known[reader] > known[h] -> take(h, known[reader]) }
    /* No process has anything left to do. */
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
