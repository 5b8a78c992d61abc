/*
 * How a gate keeps its target to the request limit that the target names in its
 * responses, while the gate and the entries restart.
 *
 * The target names its limit from some moment on. A response carries it if it was
 * written after that. The gate passes the response to the entry, which from then on
 * has been told. The gate may restart, which ends the requests that it has sent; its
 * target then runs one request at a time, until a response comes or the gate no longer
 * waits for one. An entry may restart, which excuses it.
 *
 * Invariant: no gate admits a request of an entry that has been told as if the target
 * had no limit.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_FORGET   a gate that has restarted takes its target to have no limit
 *   NAIVE_ENTRY    entries do not return what they remember
 *   NAIVE_ORDER    any response without the limit ends it, also one that is older
 *   NAIVE_PROBATION what entries return counts only until the gate's wait is over
 *   NAIVE_RECORD   an entry forgets the limit with the record of a gate that restarts
 */
#define ENTRIES 2
#define SLOTS 2

mtype = { NONE, LIMITED, UNKNOWN };
mtype = { FREE, RUNNING, WITHOUT, WITH };

bool named = false;        /* the target names its limit */
mtype gate = NONE;         /* what the gate takes the limit to be */
bool heard = false;        /* a response has told the gate since it started */
bool told[ENTRIES];        /* the entry has passed on a response with the limit */
bool remembers[ENTRIES];   /* the entry returns the limit with its requests */
mtype slot[SLOTS] = FREE;  /* a request, and the response that the target has written */
byte owner[SLOTS];         /* the entry of the request */
bool older[SLOTS];         /* the request started before the gate heard of the limit */

inline learn(e) {
	if
#ifdef NAIVE_PROBATION
	:: gate == UNKNOWN && remembers[e] -> gate = LIMITED
#else
	:: !heard && remembers[e] -> gate = LIMITED
#endif
	:: else
	fi
}

inline admit(e, s) {
	atomic {
		slot[s] == FREE;
		learn(e);
		if
		:: gate == NONE -> assert(!told[e]); slot[s] = RUNNING; owner[s] = e; older[s] = false
		:: gate == LIMITED -> slot[s] = RUNNING; owner[s] = e; older[s] = false
		:: gate == UNKNOWN && slot[1 - s] == FREE -> slot[s] = RUNNING; owner[s] = e; older[s] = false
		:: else
		fi
	}
}

inline write(s) {
	atomic {
		slot[s] == RUNNING;
		if
		:: named -> slot[s] = WITH
		:: else -> slot[s] = WITHOUT
		fi
	}
}

inline read(s) {
	atomic {
		if
		:: slot[s] == WITH ->
			gate = LIMITED; heard = true;
			older[0] = true; older[1] = true;
			told[owner[s]] = true;
#ifndef NAIVE_ENTRY
			remembers[owner[s]] = true;
#endif
		:: slot[s] == WITHOUT ->
			if
#ifdef NAIVE_ORDER
			:: true -> gate = NONE; heard = true
#else
			:: !(gate == LIMITED && older[s]) -> gate = NONE; heard = true
#endif
			:: else
			fi
		fi;
		slot[s] = FREE
	}
}

proctype Gate() {
	do
	:: atomic {
#ifdef NAIVE_FORGET
		gate = NONE; heard = true;
#else
		gate = UNKNOWN; heard = false;
#endif
#ifdef NAIVE_RECORD
		remembers[0] = false; remembers[1] = false;
#endif
		slot[0] = FREE; slot[1] = FREE
	}
	:: atomic { gate == UNKNOWN -> gate = NONE } /* no response in time */
	:: read(0)
	:: read(1)
	od
}

proctype Target() {
	do
	:: named = true
	:: write(0)
	:: write(1)
	od
}

proctype Entry(byte e) {
	do
	:: admit(e, 0)
	:: admit(e, 1)
	:: atomic { told[e] = false; remembers[e] = false }
	od
}

init {
	atomic {
		run Gate(); run Target(); run Entry(0); run Entry(1)
	}
}
