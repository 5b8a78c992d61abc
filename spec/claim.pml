/*
 * A claim's key runs at most once.
 *
 * Three members lease one seat among themselves; a caller sends one key
 * ATTEMPTS times; messages are delayed without bound, members crash and forget
 * everything, holders pause between any two steps, and clocks differ by up to
 * BOUND. Every step below is one rule of the code:
 *
 *   grant  lease.Granter.Grant     win  lease.Holder.Won
 *   receive  claim.Admits and claim.Memory.Begin
 *   target_runs  the gate begins the request, at any later time
 *
 * Time is counted in ticks. A member is bound for TERM from its grant, a holder
 * serves for HOLDER_TERM from before it asked.
 *
 * The naive variants each leave out one rule and must be found wrong:
 *   NAIVE_TENURE      a new holder runs keys issued before its tenure
 *   NAIVE_SKEW        a new holder allows for no difference of clocks
 *   NAIVE_RESTART     a restarted member grants at once
 *   NAIVE_ASKED       a holder counts its lease from the answers
 *   NAIVE_UNBROKEN    a holder takes any won lease for the same tenure
 */
#define NODES 3
#define MAJORITY 2
#define ATTEMPTS 2
#define NOBODY 9
#ifndef END_OF_TIME
#define END_OF_TIME 6
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
/* The rates of clocks are taken as equal here; the margin between the two terms
 * in the code stands for their difference. */
#define TERM 2
#define HOLDER_TERM 2
#define BOUND 1

/* States of an attempt. */
#define SENT 0
#define BEGUN 1
#define OVER 2

byte now = 1;
byte crashes;
byte skew[2];              /* a candidate's clock is now + skew */
byte caller_skew;

byte granted_to[NODES] = NOBODY;
byte granted_until[NODES];
byte run_since[NODES];     /* since when all grants went to granted_to */
byte quarantine[NODES];    /* a restarted member grants nothing before */

byte since[2];             /* start of the tenure by the node's clock */
byte until[2];             /* end of the lease, 0 when over */
byte end[2];               /* when the tenure certainly was live last */
bool remembers[2];         /* the node's memory holds the key */

bool issued;
byte issued_at;            /* by the caller's clock */
byte attempt[ATTEMPTS];    /* sent at issue, received at any time after */
byte attempt_at[ATTEMPTS]; /* the node that began it, NOBODY after its crash */
byte ran;

/* Times that have passed are all the same. */
inline forget_past() {
	for (k : 0 .. NODES - 1) {
		if :: granted_until[k] <= now -> granted_until[k] = 0 :: else fi;
		if :: quarantine[k] <= now -> quarantine[k] = 0 :: else fi
	}
	for (k : 0 .. 1) {
		if :: until[k] <= now -> until[k] = 0 :: else fi
	}
	k = 0
}

/* The member grants the seat to the candidate if it may. */
inline grant(c, m) {
	if
	:: now >= quarantine[m] && (granted_to[m] == c || now >= granted_until[m]) ->
		if
		:: granted_to[m] != c -> granted_to[m] = c; run_since[m] = now
		:: else
		fi;
		granted_until[m] = now + TERM;
		grants++;
		if :: run_since[m] < end[c] -> unbroken++ :: else fi
	:: else
	fi
}

/*
 * The candidate asks some members and takes the seat if a majority grants it.
 * Answers that come later than in the same tick only shorten the lease, since
 * it counts from before the question.
 */
inline ask(c, first, second, third) {
	d_step {
		grants = 0; unbroken = 0;
		if :: first -> grant(c, 0) :: else fi;
		if :: second -> grant(c, 1) :: else fi;
		if :: third -> grant(c, 2) :: else fi;
		if
		:: grants >= MAJORITY -> win(c)
		:: else
		fi;
		grants = 0; unbroken = 0
	}
}

inline win(c) {
	if
#ifdef NAIVE_UNBROKEN
	:: end[c] > 0
#else
	:: unbroken >= MAJORITY
#endif
	:: else -> since[c] = now + skew[c]
	fi;
#ifdef NAIVE_ASKED
	until[c] = now + 1 + HOLDER_TERM; /* the answers took a tick */
#else
	until[c] = now + HOLDER_TERM;
#endif
	end[c] = until[c]
}

inline receive(i, c) {
	d_step {
		/* The attempts are alike, so the first is received first. */
		issued && attempt[i] == SENT && (i == 0 || attempt[0] != SENT) && now < until[c] ->
		if
		:: remembers[c] -> attempt[i] = OVER /* joins or gets the kept answer */
#ifndef NAIVE_TENURE
#ifdef NAIVE_SKEW
		:: !remembers[c] && issued_at <= since[c] -> attempt[i] = OVER
#else
		:: !remembers[c] && issued_at <= since[c] + 2*BOUND -> attempt[i] = OVER
#endif
#endif
		:: !remembers[c] && issued_at > now + skew[c] + BOUND -> attempt[i] = OVER
		:: else ->
			remembers[c] = true;
			attempt[i] = BEGUN; attempt_at[i] = c
		fi
	}
}

inline target_runs(i) {
	d_step {
		attempt[i] == BEGUN ->
		attempt[i] = OVER; attempt_at[i] = NOBODY;
		ran++;
		assert(ran <= 1)
	}
}

/* The gate refused: the attempt will not run, and the key may begin again. */
inline refuse(i) {
	d_step {
		attempt[i] == BEGUN ->
		attempt[i] = OVER;
		if
		:: attempt_at[i] != NOBODY -> remembers[attempt_at[i]] = false
		:: else
		fi;
		attempt_at[i] = NOBODY
	}
}

inline crash_member(m) {
	granted_to[m] = NOBODY; granted_until[m] = 0; run_since[m] = 0;
#ifndef NAIVE_RESTART
	quarantine[m] = now + TERM;
#endif
}

inline crash(c) {
	d_step {
		crashes < CRASHES ->
		crashes++;
		crash_member(c);
		since[c] = 0; until[c] = 0; end[c] = 0;
		remembers[c] = false;
		if :: attempt_at[0] == c -> attempt_at[0] = NOBODY :: else fi;
		if :: attempt_at[1] == c -> attempt_at[1] = NOBODY :: else fi
	}
}

/* Nodes 0 and 1 try to win the seat; node 2 is a member only. */
active proctype fleet() {
	byte k, grants, unbroken;
	/* Any two clocks are within BOUND: one of the nodes, which are otherwise
	 * alike, is ahead, and the caller with either. */
	skew[0] = BOUND;
	if :: caller_skew = 0 :: caller_skew = BOUND fi;
	attempt_at[0] = NOBODY; attempt_at[1] = NOBODY;
	do
	:: d_step { now < END_OF_TIME -> now++; forget_past() }
	:: d_step { !issued -> issued = true; issued_at = now + caller_skew }
	:: ask(0, 1, 1, 0) :: ask(0, 1, 0, 1) :: ask(0, 0, 1, 1)
	:: ask(0, 1, 0, 0) :: ask(0, 0, 1, 0) :: ask(0, 0, 0, 1)
	:: ask(1, 1, 1, 0) :: ask(1, 1, 0, 1) :: ask(1, 0, 1, 1)
	:: ask(1, 1, 0, 0) :: ask(1, 0, 1, 0) :: ask(1, 0, 0, 1)
	:: receive(0, 0) :: receive(0, 1)
	:: receive(1, 0) :: receive(1, 1)
	:: target_runs(0) :: target_runs(1)
	:: refuse(0) :: refuse(1)
	:: crash(0) :: crash(1)
	:: d_step { crashes < CRASHES -> crashes++; crash_member(2) }
	:: now == END_OF_TIME -> break
	od
}
