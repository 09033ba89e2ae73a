/* What a list of instances says after the store came back from an older copy of itself (src/session/instancelist.h,
 * storeepoch.h, storeposition.h).
 *
 * There are one instance and one host, and time passes in steps. The instance may announce that it leaves; new work may
 * reach it for DRAIN steps after the store has accepted the notice. The store may keep a copy, and return to it, in each step;
 * what the instance wrote is written again at most REFILL steps later. The host reads the list in each step, takes over what
 * is not older than what it has, and sends new work while it takes the instance for ready, or its time to leave for not over.
 *
 * Property: no new work reaches the instance after its time.
 *
 * Bounds: STEPS steps, two restores. Mutants (-D): see model/check.
 */
#define STEPS 12
#define DRAIN 5
#define REFILL 1
#define SETTLE 2
#define MAX_EPOCH 3

/* The store. */
byte version = 1, copiedVersion = 1;
byte epoch = 1;
bool entryLeaving, copiedLeaving;
byte refillAt;

/* The instance. */
bool announced;
byte announcedAt;

/* The host. */
byte knownEpoch = 1, knownVersion, epochSeenAt;
bool knownLeaving;
byte lastReady, newWorkUntil;

inline change() {
    if
    :: !announced -> announced = true; announcedAt = now; entryLeaving = true; version++
    :: version < 20 -> version++
    :: copiedVersion = version; copiedLeaving = entryLeaving
    :: epoch < MAX_EPOCH ->
        version = copiedVersion; entryLeaving = copiedLeaving; epoch++;
        if
        :: refillAt = now
        :: refillAt = now + REFILL
        fi
    :: skip
    fi
}

inline refill() {
    if
    :: announced && !entryLeaving && now >= refillAt -> entryLeaving = true; version++
    :: else
    fi
}

inline readList() {
    settled = true;
    if
    :: epoch > knownEpoch -> knownEpoch = epoch; epochSeenAt = now; knownVersion = 0
    :: else
    fi;
#ifndef MUTANT_TAKE_BACK
    settled = (knownEpoch == 1 || now >= epochSeenAt + SETTLE);
#endif
#ifdef MUTANT_COMPARE_ACROSS_EPOCHS
    newer = version >= highestVersion;
    highestVersion = (newer -> version : highestVersion);
#else
    newer = version >= knownVersion;
#endif
    if
    :: newer ->
        knownVersion = version;
        if
        :: entryLeaving && !knownLeaving -> knownLeaving = true; newWorkUntil = lastReady + DRAIN
        :: !entryLeaving && settled -> knownLeaving = false; lastReady = now
#ifdef MUTANT_READY_BY_ANY_LIST
        :: !entryLeaving && !settled && !knownLeaving -> lastReady = now
#endif
        :: else
        fi
    :: else
    fi
}

active proctype System()
{
    byte now;
    bool settled, newer;
#ifdef MUTANT_COMPARE_ACROSS_EPOCHS
    byte highestVersion;
#endif
    do
    :: now < STEPS ->
        atomic { change(); change() };
        atomic { refill(); readList() };
        if
        :: !knownLeaving || now <= newWorkUntil -> assert(!announced || now <= announcedAt + DRAIN)
        :: else
        fi;
        now++
    :: else -> break
    od
}
