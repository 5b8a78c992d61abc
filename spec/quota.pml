/*
 * How a customer's home grants tokens and how another node takes over for it, while the
 * network is partitioned and the home restarts.
 *
 * Time passes in steps. The home H and the second node S each have a bucket; both get
 * their share of one token in each step (tokens are counted in halves). An entry holds
 * granted tokens for the step of the grant and the next one, the TTL. A partition separates H with entry 0 from S with entry
 * 1. H notices it
 * DETECT steps later at the latest and then halves its rate; S grants only after it has
 * not reached H for longer than that.
 *
 * Invariant: what all entries use in a window never exceeds one burst, what the rate
 * brings, and what the TTL carries over.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_LOCAL    each node has its own full quota
 *   NAIVE_RESTART  a node that restarts has a full bucket, so that its tokens are granted twice
 *   NAIVE_TAKEOVER the second node grants as soon as it does not reach the home
 *   NAIVE_SHARE    a home that is cut off from the others keeps the full rate
 *   NAIVE_KEEP     tokens do not expire at the entries
 *   NAIVE_RETURN   a call that is repeated returns unused tokens twice
 */
#define BURST 4        /* halves of a token */
#define STEPS 5
#define DETECT 2

byte time = 0;
byte level[2];          /* buckets of H (0) and S (1) */
bool knows = false;     /* H knows that it is cut off */
bool cut = false;
byte cutFor = 0;        /* steps since the partition began */
byte held[2];           /* tokens of the entries, granted in this step */
byte old[2];            /* tokens of the entries, granted in the step before */
short used = 0;         /* in the window, which begins at any time */
byte windowAt = 0;
bool windowBegan = false;
bool restarted = false;
bool acting = false;    /* S grants in place of H */

/* The bound: the burst, two halves for each step, and two steps for the TTL, because a
   token is used in the step of its grant or in the next one. */
#define LIMIT (BURST + 2 * (time - windowAt + 2))

inline fill(n, amount) {
	level[n] = level[n] + amount;
	if
	:: level[n] > BURST -> level[n] = BURST
	:: else
	fi
}

inline grant(n, e) {
	level[n] = level[n] - 1;
	held[e] = held[e] + 1
}

/* One step of time. */
inline tick() {
	time = time + 1;
	if
	:: cut ->
		cutFor = cutFor + 1;
		if
		:: cutFor >= DETECT -> knows = true /* the window of the probes is over */
		:: else
		fi;
#ifdef NAIVE_TAKEOVER
		acting = true;
#else
		if
		:: cutFor > DETECT -> acting = true
		:: else
		fi;
#endif
	:: else
	fi;
#ifdef NAIVE_LOCAL
	fill(0, 2); fill(1, 2);
#else
	if
#ifndef NAIVE_SHARE
	:: knows -> fill(0, 1); if :: level[0] > BURST / 2 -> level[0] = BURST / 2 :: else fi
	:: !knows -> fill(0, 2)
#else
	:: true -> fill(0, 2)
#endif
	fi;
	if
	:: acting -> fill(1, 1); if :: level[1] > BURST / 2 -> level[1] = BURST / 2 :: else fi
	:: else
	fi;
#endif
#ifdef NAIVE_KEEP
	old[0] = old[0] + held[0]; old[1] = old[1] + held[1];
#else
	old[0] = held[0]; old[1] = held[1];
#endif
	held[0] = 0; held[1] = 0
}

init {
	/* The home has had a full bucket for a while; the other node is not the home. */
	level[0] = BURST;
#ifdef NAIVE_LOCAL
	level[1] = BURST;
#endif
	do
	:: atomic { time < STEPS -> tick() }
	:: atomic { !windowBegan -> windowBegan = true; windowAt = time; used = 0 }
	:: atomic { !cut && time < STEPS -> cut = true; cutFor = 0 }
	:: atomic { cut -> knows = true } /* a probe failed */
	:: atomic { cut && acting -> cut = false; knows = false; acting = false; level[1] = 0; cutFor = 0 }
	:: atomic { !restarted -> restarted = true;
#ifdef NAIVE_RESTART
		level[0] = BURST
#else
		level[0] = 0
#endif
	}
	/* Grants: entry 0 reaches H, entry 1 reaches H or, while it is cut off, S. */
	:: atomic { level[0] > 0 -> grant(0, 0) }
	:: atomic { level[0] > 0 && !cut -> grant(0, 1) }
	:: atomic { level[1] > 0 -> grant(1, 1) }
	/* The reply is lost. */
	:: atomic { level[0] > 0 -> level[0] = level[0] - 1 }
#ifdef NAIVE_RETURN
	:: atomic { held[0] > 0 && level[0] + 2 <= BURST -> held[0] = held[0] - 1; level[0] = level[0] + 2 }
#endif
	/* Requests use tokens. */
	:: atomic { held[0] > 0 -> held[0] = held[0] - 1; used = used + windowBegan; assert(used <= LIMIT) }
	:: atomic { held[1] > 0 -> held[1] = held[1] - 1; used = used + windowBegan; assert(used <= LIMIT) }
	:: atomic { old[0] > 0 -> old[0] = old[0] - 1; used = used + windowBegan; assert(used <= LIMIT) }
	:: atomic { old[1] > 0 -> old[1] = old[1] - 1; used = used + windowBegan; assert(used <= LIMIT) }
	:: time == STEPS && level[0] == 0 && level[1] == 0 && held[0] + held[1] + old[0] + old[1] == 0 -> break
	od
}
