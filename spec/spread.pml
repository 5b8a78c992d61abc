/*
 * How two nodes follow the configurations in a store that may come back from an
 * older copy.
 *
 * The store is a log of versions. Its era rises when it goes back; offsets are then
 * given out again, and the operator writes its newest version again. A node reads the
 * newest version, which gives it a position, and then reads from that position on.
 * Responses may be delayed while the store goes back, and another call of the node may
 * see a later era meanwhile. A node hears versions of the other one, and may restart.
 *
 * Invariant: the active version of a node never decreases while it runs, and a read
 * that finds nothing after the node's position leaves it with the newest version.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_OFFSET   a position is used in a later era
 *   NAIVE_LATE     a response of an earlier era is used after one of a later era
 *   NAIVE_REVERT   what the store holds becomes active, also if it is older
 */
#define NODES 2
#define VERSIONS 3
#define MAX_RECORDS 5
#define MAX_ERA 2

#ifdef NAIVE_OFFSET
#define CAN_CONTINUE(n) (positionEra[n] != 0)
#else
#define CAN_CONTINUE(n) (positionEra[n] != 0 && positionEra[n] == seenEra[n])
#endif

byte records[MAX_RECORDS];
byte end = 0;
byte era = 1;
byte published = 0;

byte current[NODES];
byte position[NODES];
byte positionEra[NODES]; /* 0: the node has no position */
byte seenEra[NODES];
bool restarted = false;

active proctype Operator() {
	do
	:: atomic { published < VERSIONS && end < MAX_RECORDS -> published++; records[end] = published; end++ }
	:: atomic { published > 0 && end < MAX_RECORDS && (end == 0 || records[end - 1] < published) ->
		records[end] = published; end++ }
	:: atomic { end > 0 && era < MAX_ERA -> end--; era++ }
	:: atomic { end > 1 && era < MAX_ERA -> end = end - 2; era++ }
	od
}

/* Another call of the node sees the era of the store. */
proctype OtherCall(byte n) {
	do
	:: seenEra[n] < era -> seenEra[n] = era
	od
}

inline activate(n, v) {
#ifdef NAIVE_REVERT
	if
	:: v > 0 -> assert(v >= current[n]); current[n] = v
	:: else -> skip
	fi
#else
	if
	:: v > current[n] -> current[n] = v
	:: else -> skip
	fi
#endif
}

proctype Node(byte n) {
	byte v, e, p;
	do
	:: positionEra[n] == 0 ->
		/* Newest */
		atomic { e = era; p = end; v = (end > 0 -> records[end - 1] : 0) };
		atomic {
			if
#ifdef NAIVE_LATE
			:: true ->
				seenEra[n] = (e > seenEra[n] -> e : seenEra[n]);
				position[n] = p; positionEra[n] = seenEra[n];
				activate(n, v)
#else
			:: e < seenEra[n] -> skip
			:: else ->
				seenEra[n] = e;
				position[n] = p; positionEra[n] = e;
				activate(n, v)
#endif
			fi;
			v = 0; p = 0; e = 0
		}
#ifndef NAIVE_OFFSET
	:: positionEra[n] != 0 && positionEra[n] != seenEra[n] -> positionEra[n] = 0
#endif
	:: CAN_CONTINUE(n) ->
		/* Next: the highest version after the position, or nothing */
		atomic {
			e = era; p = end;
			v = (position[n] < end -> records[end - 1] : 0);
			if
			:: position[n] > end -> p = 255 /* 410 */
			:: else -> skip
			fi
		};
		atomic {
			if
			:: p == 255 -> positionEra[n] = 0
#ifndef NAIVE_OFFSET
			:: p != 255 && e != positionEra[n] -> positionEra[n] = 0
			:: p != 255 && e == positionEra[n] ->
#else
			:: p != 255 ->
#endif
				position[n] = p;
				activate(n, v);
				assert(e != era || p != end || end == 0 || current[n] >= records[end - 1])
			fi;
			v = 0; p = 0; e = 0
		}
	:: atomic { current[1 - n] > current[n] -> current[n] = current[1 - n] }
	:: atomic { !restarted -> restarted = true; current[n] = 0; positionEra[n] = 0; position[n] = 0; seenEra[n] = 0 }
	od
}

init {
	atomic { run Node(0); run Node(1); run OtherCall(0); run OtherCall(1) }
}
