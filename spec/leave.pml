/*
 * How the leave of a target that a gate has confirmed outlives the gate's process.
 *
 * The leave is part of the record of the gate's node. The store and another node hold
 * copies of the record; a later record replaces an earlier one, also if it comes through a
 * third node, but for the leave that it may lack. The gate may be killed,
 * after which its node begins with an empty record and the gate recovers: it admits
 * nothing until the other node, and the store unless it is away, have been asked. The other
 * node may be killed as well, also while the store is away, and then knows nothing. A node is
 * a witness if it has run from the start or has asked a witness since it was killed. A gate that
 * has recovered without a witness doubts its target: a late announcement alone does
 * not open it. An announcement from before the leave may arrive at any time.
 *
 * Invariants: somebody other than the gate holds a confirmed leave, unless the other node has
 * been killed; and the late announcement does not open a gate whose target's leave was
 * confirmed. A gate is excused if only the store held the leave while it recovered, and the
 * store was away.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_CONFIRM   the gate confirms the leave before anybody else holds it
 *   NAIVE_OVERWRITE a node that has restarted writes its record before it has read the store
 *   NAIVE_REPLY     a node that gets a record without the leave does not return the former one
 *   NAIVE_OPEN      a gate that has restarted asks nobody
 *   NAIVE_REPLACE   a later record replaces the other node's copy with the leave
 *   NAIVE_TRUST     a gate that has restarted believes any node, also one that has just started
 */
#define KILLS 2

bool knows = false;       /* the gate knows the leave; its node's record has it */
bool confirmed = false;
bool atStore = false;     /* the store's copy of the record has the leave */
bool atPeer = false;      /* the other node's copy has it */
bool storeAway = false;
bool recovering = false;
bool hasRead = true;      /* the store has been read since the node started */
bool hasAsked = true;     /* the other node has been asked since then */
bool excused = false;
bool isWitness = true;    /* the gate's node is a witness */
bool peerWitness = true;  /* the other node is one */
bool peerKilled = false;  /* the other node has been killed */
bool doubts = false;      /* the gate doubts its target */
byte kills = 0;
byte peerKills = 0;

/* What the invariants say of each state after a step. */
inline check() {
	assert(!confirmed || atStore || atPeer || peerKilled)
}

/* The other node gets the record of the gate's node, and compares its copy. */
inline exchange() {
	if
#ifndef NAIVE_REPLY
	:: atPeer && !knows -> knows = true
#endif
	:: else -> atPeer = knows
	fi;
	hasAsked = true;
	isWitness = isWitness || peerWitness;
	peerWitness = isWitness;
	doubts = doubts && !isWitness
}

active proctype gate() {
	do
	:: atomic { !knows && kills == 0 -> knows = true; check() }
	:: atomic { !storeAway && !hasRead -> knows = knows || atStore; hasRead = true; check() }
#ifdef NAIVE_OVERWRITE
	:: atomic { !storeAway -> atStore = knows; check() }
#else
	:: atomic { !storeAway && hasRead -> atStore = knows; check() }
#endif
	:: atomic { exchange(); check() }
#ifdef NAIVE_REPLACE
	:: atomic { atPeer = knows; check() } /* the record has come through a third node */
#else
	:: atomic { atPeer = atPeer || knows; check() }
#endif
#ifdef NAIVE_CONFIRM
	:: atomic { knows -> confirmed = true; check() }
#else
	:: atomic { knows && (atStore || atPeer) -> confirmed = true; check() }
#endif
	:: atomic { recovering && hasAsked && (hasRead || storeAway) ->
		recovering = false;
#ifndef NAIVE_TRUST
		doubts = !isWitness;
#endif
		excused = excused || !knows && !hasRead && atStore
	}
	:: atomic { kills < KILLS ->
		kills++;
		knows = false; hasRead = false; hasAsked = false; isWitness = false; doubts = false;
#ifndef NAIVE_OPEN
		recovering = true;
#endif
		check()
	}
	:: atomic { peerKills < KILLS ->
		peerKills++;
		peerKilled = true; atPeer = false; peerWitness = false;
		check()
	}
	:: atomic { !recovering && !knows && !doubts -> assert(!confirmed || excused) } /* the late announcement */
	:: atomic { storeAway = !storeAway }
	od
}
