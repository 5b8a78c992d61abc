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
#define END_OF_TIME 8
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
/* The rates of clocks are taken as equal here; the margin between the two terms
 * in the code stands for their difference. */
#define TERM 3
#define HOLDER_TERM 3
#define BOUND 1

/* claim.Admits: may a key be begun in a tenure that began at this time? */
#ifdef NAIVE_TENURE
#define admitted(key, tenure) (true)
#else
#ifdef NAIVE_SKEW
#define admitted(key, tenure) (key > tenure)
#else
#define admitted(key, tenure) (key > tenure + 2*BOUND)
#endif
#endif

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
byte quarantine[NODES];    /* a restarted member grants nothing before */

byte since[2];             /* start of the tenure, until the key is issued */
bool admits[2];            /* then: the tenure may begin the key */
byte until[2];             /* end of the lease, 0 when over */
bool held[2];              /* a lease was won before */
byte only[2];              /* a bit for each member that has granted to nobody
                            * else since the lease was live last */
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
		:: granted_to[m] != c -> granted_to[m] = c; only[1 - c] = only[1 - c] & (7 - (1 << m))
		:: else
		fi;
		granted_until[m] = now + TERM;
		grants++;
		if :: only[c] & (1 << m) -> unbroken++ :: else fi;
		/* A run that begins while the lease is live reaches back to it. */
		if :: until[c] > now -> only[c] = only[c] | (1 << m) :: else fi
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
	:: held[c]
#else
	:: unbroken >= MAJORITY
#endif
	:: else ->
		if
		:: issued -> admits[c] = admitted(issued_at, now + skew[c])
		:: else -> since[c] = now + skew[c]
		fi
	fi;
	held[c] = true;
#ifdef NAIVE_ASKED
	until[c] = now + TERM + HOLDER_TERM; /* the answers took a term */
#else
	until[c] = now + HOLDER_TERM;
#endif
	/* Whoever grants to the candidate now does so while the lease is live. */
	if :: granted_to[0] == c -> only[c] = only[c] | 1 :: else fi;
	if :: granted_to[1] == c -> only[c] = only[c] | 2 :: else fi;
	if :: granted_to[2] == c -> only[c] = only[c] | 4 :: else fi
}

inline issue() {
	d_step {
		!issued ->
		issued = true; issued_at = now + caller_skew;
		admits[0] = held[0] && admitted(issued_at, since[0]);
		admits[1] = held[1] && admitted(issued_at, since[1]);
		since[0] = 0; since[1] = 0
	}
}

inline receive(i, c) {
	d_step {
		/* The attempts are alike, so the first is received first. */
		issued && attempt[i] == SENT && (i == 0 || attempt[0] != SENT) && now < until[c] ->
		if
		:: remembers[c] -> attempt[i] = OVER /* joins or gets the kept answer */
		:: !remembers[c] && !admits[c] -> attempt[i] = OVER
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
	granted_to[m] = NOBODY; granted_until[m] = 0;
	only[0] = only[0] & (7 - (1 << m)); only[1] = only[1] & (7 - (1 << m));
#ifndef NAIVE_RESTART
	quarantine[m] = now + TERM;
#endif
}

inline crash(c) {
	d_step {
		crashes < CRASHES ->
		crashes++;
		crash_member(c);
		since[c] = 0; admits[c] = false; until[c] = 0; held[c] = false; only[c] = 0;
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
	:: issue()
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
