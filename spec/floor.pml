/*
 * Ejections never leave fewer than FLOOR targets in service.
 *
 * There are TARGETS targets with one slot each, and each has a gate. A gate that
 * detects an unhealthy target starts a proposal, asks the other gates to confirm
 * their targets as healthy capacity, and ejects its target once FLOOR of them
 * have. Requests and responses may be lost or delayed without bound, gates may
 * crash and lose their state, and ejections end.
 *
 *   propose  floor.Ejections.Propose   confirm  floor.Ejections.CountsTowardsFloor
 *   commit   floor.Proposal.Commit     abort    floor.Proposal.Abort
 *
 * The argument needs no clock. Of all targets that are out of service, take the
 * one that was proposed last. The targets that were confirmed to its proposal
 * were neither ejected nor proposed after that proposal started, and none of
 * them can have been proposed since, so they are in service.
 *
 * Each naive variant leaves out one rule, and the checker must find a
 * counterexample to it:
 *   NAIVE_BIDDING  a gate confirms a target that it has proposed to eject
 *   NAIVE_EJECTED  a gate confirms a target that it has ejected
 *   NAIVE_KEPT     a gate keeps confirmations from before its proposal started
 */
#define TARGETS 4
#define FLOOR 2

bool ejected[TARGETS];
bool proposed[TARGETS];
byte confirmed[TARGETS]; /* one bit for each target that is confirmed to this proposal */

#ifdef NAIVE_BIDDING
#define not_proposed(t) (true)
#else
#define not_proposed(t) (!proposed[t])
#endif
#ifdef NAIVE_EJECTED
#define not_ejected(t) (true)
#else
#define not_ejected(t) (!ejected[t])
#endif

#define IN_SERVICE (4 - ejected[0] - ejected[1] - ejected[2] - ejected[3])
#define COUNT(set) ((set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1))

inline propose(t) {
	d_step { !proposed[t] && !ejected[t] -> proposed[t] = true }
}

/* The gate of target o confirms o to the proposal for target t. */
inline confirm(t, o) {
	d_step {
		proposed[t] && (confirmed[t] & (1 << o)) == 0 && not_ejected(o) && not_proposed(o) ->
		confirmed[t] = confirmed[t] | (1 << o)
	}
}

inline commit(t) {
	d_step {
		proposed[t] && COUNT(confirmed[t]) >= FLOOR ->
		proposed[t] = false; confirmed[t] = 0;
		ejected[t] = true;
		assert(IN_SERVICE >= FLOOR)
	}
}

inline abort(t) {
	d_step {
		proposed[t] ->
		proposed[t] = false;
#ifndef NAIVE_KEPT
		confirmed[t] = 0;
#endif
	}
}

/* The ejection ends, and the target is back in service. */
inline reinstate(t) {
	d_step { ejected[t] -> ejected[t] = false }
}

/* The gate restarts without its proposal, its confirmations and its ejection. */
inline crash(t) {
	d_step { ejected[t] = false; proposed[t] = false; confirmed[t] = 0 }
}

active proctype gates() {
	do
	:: propose(0) :: propose(1) :: propose(2) :: propose(3)
	:: confirm(0, 1) :: confirm(0, 2) :: confirm(0, 3)
	:: confirm(1, 0) :: confirm(1, 2) :: confirm(1, 3)
	:: confirm(2, 0) :: confirm(2, 1) :: confirm(2, 3)
	:: confirm(3, 0) :: confirm(3, 1) :: confirm(3, 2)
	:: commit(0) :: commit(1) :: commit(2) :: commit(3)
	:: abort(0) :: abort(1) :: abort(2) :: abort(3)
	:: reinstate(0) :: reinstate(1) :: reinstate(2) :: reinstate(3)
	:: crash(0) :: crash(1) :: crash(2) :: crash(3)
	od
}
