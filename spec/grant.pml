/*
 * How an entry sends a request that must run at most once to one of two gates.
 *
 * The entry sends the head of the request. The gate grants it a slot or refuses
 * it. The target runs the request only when its rest arrives, which the entry
 * sends after the grant. Messages may be lost, be delayed without bound, or arrive
 * after the entry has given up on the gate. A gate may crash and lose its state.
 *
 * Invariant: the request runs at most once, and if its caller is told that it has
 * not run, it never does.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_WHOLE    the whole request is sent at once, without a grant
 *   NAIVE_LATE     a grant is used although the entry has moved on to another gate
 *   NAIVE_RESEND   a request whose rest was sent is sent to the other gate
 *   NAIVE_REFUSAL  a request whose rest was sent is reported as not run
 */
#define GATES 2

/* HEAD and REST go to a gate, the others come from one. */
mtype = { HEAD, REST, GRANT, REFUSAL, RESPONSE };

chan toGate[GATES] = [3] of { mtype };
chan toEntry = [6] of { mtype, byte };

byte runs = 0;
bool toldNotRun = false;
bool toldOther = false; /* the caller got a response or was told that the outcome is unknown */

proctype Gate(byte g) {
	bool grantHeld = false;
	do
	:: toGate[g]?HEAD ->
#ifdef NAIVE_WHOLE
		runs++;
		toEntry!RESPONSE, g
#else
		if
		:: grantHeld = true; toEntry!GRANT, g
		:: toEntry!REFUSAL, g
		fi
#endif
	:: toGate[g]?REST ->
		if
		:: grantHeld -> runs++; grantHeld = false; toEntry!RESPONSE, g
		:: else -> skip
		fi
	:: toGate[g]?_ -> skip         /* the message is lost */
	:: grantHeld = false           /* the gate crashes and restarts */
	:: (toldNotRun || toldOther) && empty(toGate[g]) -> break
	od
}

proctype Entry() {
	byte g = 0;
	byte from;
	bool restSent = false;
	bool headSent[GATES];

	do
	:: g < GATES && !headSent[g] -> headSent[g] = true; toGate[g]!HEAD
	:: toEntry?GRANT, from ->
		if
#ifdef NAIVE_LATE
		:: true -> toGate[from]!REST; restSent = true
#else
		:: from == g && !restSent -> toGate[from]!REST; restSent = true
		:: else -> skip            /* the entry has moved on and closed the connection */
#endif
		fi
	:: toEntry?REFUSAL, from ->
		if
		:: from == g && !restSent -> g++
		:: else -> skip
		fi
	:: toEntry?RESPONSE, from -> toldOther = true; break
	:: toEntry?_, from -> skip         /* the message is lost */
	:: g < GATES && headSent[g] &&
#ifdef NAIVE_RESEND
		true
#else
		!restSent
#endif
		-> g++                     /* the gate does not respond: try the next one */
#ifdef NAIVE_RESEND
		; restSent = false
#endif
	:: g >= GATES ->
		if
#ifdef NAIVE_REFUSAL
		:: true -> toldNotRun = true
#else
		:: !restSent -> toldNotRun = true
		:: else -> toldOther = true     /* outcome unknown */
#endif
		fi;
		break
	:: restSent ->                     /* the request times out */
#ifdef NAIVE_REFUSAL
		toldNotRun = true; break
#else
		toldOther = true; break
#endif
	od;
	do
	:: toEntry?_, from -> skip
	:: empty(toEntry) -> break
	od
}

active proctype Monitor() {
	do
	:: assert(runs <= 1 && !(toldNotRun && runs > 0))
	od
}

init {
	atomic { run Gate(0); run Gate(1); run Entry() }
}
