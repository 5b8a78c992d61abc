/*
 * How a request that must run once travels from an entry to one of two gates.
 * A gate grants a slot or refuses; only the end of the request, which the entry
 * sends after the grant, makes the target run it. Messages may be lost, delayed
 * for ever or overtaken by the entry's patience; a gate may die and forget.
 *
 * Holds: the request runs at most once, and if its caller is told that it has
 * not run, it never does.
 *
 * Variants, each with one rule left out, which must be found wrong:
 *   NAIVE_WHOLE    the whole request is sent at once, without a grant
 *   NAIVE_LATE     a grant is taken up although the entry has moved on
 *   NAIVE_RESEND   a request whose end was sent is sent to the other gate
 *   NAIVE_REFUSAL  a request whose end was sent is called not run
 */
#define GATES 2

mtype = { ASK, END, GRANT, REFUSE, ANSWER };

chan toGate[GATES] = [3] of { mtype };
chan toEntry = [6] of { mtype, byte };

byte runs = 0;
bool saidNotRun = false;
bool saidAnswered = false;

proctype Gate(byte g) {
	bool granted = false;
	do
	:: toGate[g]?ASK ->
#ifdef NAIVE_WHOLE
		runs++;
		toEntry!ANSWER, g
#else
		if
		:: granted = true; toEntry!GRANT, g
		:: toEntry!REFUSE, g
		fi
#endif
	:: toGate[g]?END ->
		if
		:: granted -> runs++; granted = false; toEntry!ANSWER, g
		:: else -> skip
		fi
	:: toGate[g]?_ -> skip         /* the message is lost */
	:: granted = false             /* the gate dies and starts again */
	:: (saidNotRun || saidAnswered) && empty(toGate[g]) -> break
	od
}

proctype Entry() {
	byte g = 0;
	byte from;
	bool endSent = false;
	bool asked[GATES];

	do
	:: g < GATES && !asked[g] -> asked[g] = true; toGate[g]!ASK
	:: toEntry?GRANT, from ->
		if
#ifdef NAIVE_LATE
		:: true -> toGate[from]!END; endSent = true
#else
		:: from == g && !endSent -> toGate[from]!END; endSent = true
		:: else -> skip            /* the entry has moved on: its connection is closed */
#endif
		fi
	:: toEntry?REFUSE, from ->
		if
		:: from == g && !endSent -> g++
		:: else -> skip
		fi
	:: toEntry?ANSWER, from -> saidAnswered = true; break
	:: toEntry?_, from -> skip         /* the message is lost */
	:: g < GATES && asked[g] &&
#ifdef NAIVE_RESEND
		true
#else
		!endSent
#endif
		-> g++                     /* the gate is silent: ask the next */
#ifdef NAIVE_RESEND
		; endSent = false
#endif
	:: g >= GATES ->
		if
#ifdef NAIVE_REFUSAL
		:: true -> saidNotRun = true
#else
		:: !endSent -> saidNotRun = true
		:: else -> saidAnswered = true  /* told that the outcome is unknown */
#endif
		fi;
		break
	:: endSent ->                      /* the deadline passes */
#ifdef NAIVE_REFUSAL
		saidNotRun = true; break
#else
		saidAnswered = true; break
#endif
	od;
	do
	:: toEntry?_, from -> skip
	:: empty(toEntry) -> break
	od
}

active proctype Monitor() {
	do
	:: assert(runs <= 1 && !(saidNotRun && runs > 0))
	od
}

init {
	atomic { run Gate(0); run Gate(1); run Entry() }
}
