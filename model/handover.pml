/* The handover from a primary that answers (src/session/primaryhandover.cpp), with fenced promotions.
 *
 * The primary acknowledges an entry once any other instance has received it. No instance is sealed, and no list is used:
 * instances start and end at any time, and receive from the moment at which they start. Holders of the promotion lease follow
 * each other under increasing fencing tokens; they may be the same host or not. Under its token a holder either requests the
 * promotion of the present primary (the fence), or lets that step down and then requests the promotion of an instance that
 * covers its end. A request may be carried out late, or never; it is judged by its token first, and takes effect later.
 * The lease's row names the candidate before its promotion is requested.
 *
 * Property: an instance that is promoted holds every acknowledged entry.
 *
 * Bounds: four instances, of which one starts late, logs of MAX_LOG entries, MAX_TOKEN holders. An instance that has ended
 * does not start again. Instances that restart without their log, and a primary that does not answer, are not in this model.
 * Mutants (-D): see model/check.
 */
#ifndef MAX_LOG
#define MAX_LOG 2
#endif
#ifndef MAX_TOKEN
#define MAX_TOKEN 3
#endif
#define N 4
#define NOBODY 9

byte length[N];
bool running[N];
bool started;                           /* The group runs. */
byte primary = 0;
bool leads = true;                      /* It has not stepped down. */
byte acknowledged;
byte highestToken;                      /* That the platform has seen. */
byte requested[MAX_TOKEN + 1] = NOBODY; /* The candidate of the request under each token, until it is judged. */
byte accepted[MAX_TOKEN + 1] = NOBODY;  /* The candidate of an accepted request, until it takes effect. */
bool wasAccepted[MAX_TOKEN + 1];
bool answered[MAX_TOKEN + 1];           /* The holder knows that, and has cleared the row. */

inline append() { leads && running[primary] && length[primary] < MAX_LOG -> length[primary]++ }
/* Also of what is on its way when the primary steps down. */
inline replicate(i) { i != primary && running[i] && running[primary] && length[i] < length[primary] -> length[i]++ }
inline acknowledge(i) {
    i != primary && leads && running[primary] && running[i] && length[i] > acknowledged && length[primary] > acknowledged ->
        acknowledged++
}

/* The platform judges the request: it refuses a token that is lower than one it has seen, and an instance that does not run. */
inline judge(token) {
    requested[token] != NOBODY ->
        if
        :: token >= highestToken && running[requested[token]] ->
            highestToken = token;
            accepted[token] = requested[token];
            wasAccepted[token] = true
        :: else
        fi;
        requested[token] = NOBODY
}

/* For the primary that leads, nothing changes. */
inline takeEffect(token) {
    accepted[token] != NOBODY ->
        if
        :: running[accepted[token]] && !(accepted[token] == primary && leads) ->
            primary = accepted[token];
            leads = true;
            assert(length[primary] >= acknowledged);
            for (k : 0 .. N - 1) {
                if
                :: length[k] > length[primary] -> length[k] = length[primary]
                :: else
                fi
            }
        :: else
        fi;
        accepted[token] = NOBODY
}

active proctype Group()
{
    byte k;
    atomic { running[0] = true; running[1] = true; running[2] = true; started = true }
    do
    :: atomic { append() }
    :: atomic { replicate(0) }
    :: atomic { replicate(1) }
    :: atomic { replicate(2) }
    :: atomic { replicate(3) }
    :: atomic { acknowledge(0) }
    :: atomic { acknowledge(1) }
    :: atomic { acknowledge(2) }
    :: atomic { acknowledge(3) }
    :: atomic { judge(1) }
    :: atomic { judge(2) }
    :: atomic { judge(3) }
    :: atomic { takeEffect(1) }
    :: atomic { takeEffect(2) }
    :: atomic { takeEffect(3) }
    od
}

/* One instance starts, and one replica ends: the one that may be a candidate. */
active proctype Members()
{
    atomic { started -> running[3] = true };
    atomic { primary != 1 -> running[1] = false }
}

/* Sets `open` to the candidate of an earlier request that may still be carried out or take effect, as the lease's row names
 * it when the lease is acquired. */
inline findOpen() {
    open = NOBODY;
    for (k : 1 .. MAX_TOKEN) {
        if
        :: k < token && requested[k] != NOBODY && running[requested[k]] -> open = requested[k]
        :: k < token && accepted[k] != NOBODY && !answered[k] && running[accepted[k]] -> open = accepted[k]
        :: else
        fi
    }
}

/* Whether an accepted request may still take effect. */
inline findUnsettled() {
    unsettled = false;
    for (k : 1 .. MAX_TOKEN) {
        if
        :: accepted[k] != NOBODY -> unsettled = true
        :: else
        fi
    }
}

active proctype Holders()
{
    byte token, old, open, end, fence, k;
    bool unsettled, down;
    started;
    do
    :: token < MAX_TOKEN ->
        atomic { token++; old = primary; down = !leads; findOpen(); findUnsettled() }
        if
        :: atomic { leads ->
#ifndef MUTANT_NO_RECORD
            /* An earlier request for another instance: the seals have to do, which are not in this model. */
            if
            :: open != NOBODY && open != old -> goto done
            :: else
            fi;
#endif
            if
            :: fence > 0 && fence == token - 1 -> skip /* The same host has the fence of the token before. */
#ifdef MUTANT_FENCE_LEFT_OPEN
            :: skip
#else
            /* The time of the primary is over: no fence, if no request is open that could promote it again. */
            :: open == NOBODY -> skip
#endif
            :: requested[token] = old; goto fencing
            fi
          }
        :: atomic { !leads ->
            /* An earlier holder has let it step down. */
            end = length[old];
            goto choosing
          }
        fi;
stepping:
        atomic {
            findUnsettled();
#ifndef MUTANT_NOT_SETTLED
            if
            :: unsettled -> goto done
            :: else
            fi;
#endif
            if
            :: primary == old && leads ->
#ifndef MUTANT_LEADS_ON
                leads = false;
#endif
                end = length[old]
            :: else -> goto done
            fi
        };
choosing:
        atomic {
#ifdef MUTANT_NO_RECORD
            open = NOBODY;
#endif
            if
            :: open != NOBODY && down -> requested[token] = open
            :: open == NOBODY || !down ->
                if
#ifdef MUTANT_NO_COVER
                :: running[1] && old != 1 -> requested[token] = 1
                :: running[2] && old != 2 -> requested[token] = 2
                :: running[3] && old != 3 -> requested[token] = 3
#else
                :: running[1] && old != 1 && length[1] >= end -> requested[token] = 1
                :: running[2] && old != 2 && length[2] >= end -> requested[token] = 2
                :: running[3] && old != 3 && length[3] >= end -> requested[token] = 3
#endif
                :: running[old] -> requested[token] = old /* No replica covers its end. */
                fi
            fi
        };
        goto done;
fencing:
        if
        :: atomic { wasAccepted[token] -> fence = token; answered[token] = true }
        :: skip /* No answer. */
#ifdef MUTANT_SAME_TOKEN
            ; atomic { requested[token] == old && accepted[token] == NOBODY };
            /* The late fence is judged by the same token as what follows it. */
            atomic {
                primary == old && leads -> leads = false; end = length[old];
                if
                :: running[2] && old != 2 && length[2] >= end -> accepted[token] = 2; highestToken = token
                :: else
                fi
            }
#endif
        fi;
done:   skip
    :: else -> break
    od
}
