/*
 * Ejections leave a floor's worth of targets in service.
 *
 * TARGETS targets of one slot each stand beside a gate each. A gate whose
 * target looks sick first raises its bid, then asks the others to vouch for
 * theirs, and ejects when FLOOR of them do. Questions and answers are lost or
 * arrive at any later time, gates crash and forget, ejections end.
 *
 *   begin   floor.Ejections.Propose   vouch  floor.Ejections.CountsTowardsFloor
 *   commit  floor.Proposal.Commit
 *
 * No clock is needed: of all targets that are out, take the one whose bid was
 * raised last. Those who vouched to it were neither out nor bidding after that
 * bid was raised, and none of them can have bid since, so they are in service.
 *
 * The naive variants each leave out one rule and must be found wrong:
 *   NAIVE_BIDDING  a gate vouches for a target that it bids for
 *   NAIVE_EJECTED  a gate vouches for a target that it has ejected
 *   NAIVE_KEPT     a gate keeps answers from before its bid was raised
 */
#define TARGETS 4
#define FLOOR 2

bool ejected[TARGETS];
bool bidding[TARGETS];
byte vouched[TARGETS]; /* a bit for each target that is vouched for to this bid */

#ifdef NAIVE_BIDDING
#define not_bidding(t) (true)
#else
#define not_bidding(t) (!bidding[t])
#endif
#ifdef NAIVE_EJECTED
#define not_ejected(t) (true)
#else
#define not_ejected(t) (!ejected[t])
#endif

#define IN_SERVICE (4 - ejected[0] - ejected[1] - ejected[2] - ejected[3])
#define COUNT(set) ((set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1))

inline begin(t) {
	d_step { !bidding[t] && !ejected[t] -> bidding[t] = true }
}

/* The gate of target o answers the bid for target t. */
inline vouch(t, o) {
	d_step {
		bidding[t] && (vouched[t] & (1 << o)) == 0 && not_ejected(o) && not_bidding(o) ->
		vouched[t] = vouched[t] | (1 << o)
	}
}

inline commit(t) {
	d_step {
		bidding[t] && COUNT(vouched[t]) >= FLOOR ->
		bidding[t] = false; vouched[t] = 0;
		ejected[t] = true;
		assert(IN_SERVICE >= FLOOR)
	}
}

inline abort(t) {
	d_step {
		bidding[t] ->
		bidding[t] = false;
#ifndef NAIVE_KEPT
		vouched[t] = 0;
#endif
	}
}

/* An ejection ends, or the gate restarts: the target is in service again. */
inline reinstate(t) {
	d_step { ejected[t] -> ejected[t] = false }
}

inline crash(t) {
	d_step { ejected[t] = false; bidding[t] = false; vouched[t] = 0 }
}

active proctype gates() {
	do
	:: begin(0) :: begin(1) :: begin(2) :: begin(3)
	:: vouch(0, 1) :: vouch(0, 2) :: vouch(0, 3)
	:: vouch(1, 0) :: vouch(1, 2) :: vouch(1, 3)
	:: vouch(2, 0) :: vouch(2, 1) :: vouch(2, 3)
	:: vouch(3, 0) :: vouch(3, 1) :: vouch(3, 2)
	:: commit(0) :: commit(1) :: commit(2) :: commit(3)
	:: abort(0) :: abort(1) :: abort(2) :: abort(3)
	:: reinstate(0) :: reinstate(1) :: reinstate(2) :: reinstate(3)
	:: crash(0) :: crash(1) :: crash(2) :: crash(3)
	od
}
