/*
 * Accepted configuration is the same at every reader, never reverts, and no
 * publish counts twice.
 *
 * Two operators publish changes of one service to the log. An append's answer
 * may be lost, so that an operator appends the same record again. Old records
 * expire; a reader restates its state as a snapshot, which may reach the log
 * late. Readers fold the log, take each other's states, and restart with
 * nothing, from a peer or from a snapshot in the log.
 *
 *   fold     ledger.State.With       install  ledger.Journal.Install
 *   recover  follower.Follower.recover
 *
 * truth[o] is the version after the record at offset o, by the rule itself.
 * Versions are offsets plus one; 0 stands for nothing.
 *
 * The naive variants each leave out one rule and must be found wrong:
 *   NAIVE_BASE     a change is accepted whatever it was made from
 *   NAIVE_INSTALL  a reader takes any state that it is given
 *   NAIVE_GAP      a reader starts from a snapshot although records between it
 *                  and the first kept one have expired
 */
#define READERS 2
#define OPERATORS 2
#define MAXLOG 4
#define NOTHING 9

/* The log: for each offset a change (operator and base) or a snapshot. */
byte length;
byte first;                /* older records have expired */
byte author[MAXLOG] = NOTHING;
byte based[MAXLOG];
byte shot_next[MAXLOG] = NOTHING;
byte shot_version[MAXLOG];
byte truth[MAXLOG];
byte accepted[OPERATORS];  /* how often an operator's record was accepted */

/* A snapshot on its way to the log. */
byte late_next = NOTHING;
byte late_version;

/* Operators: the version that they started from, or NOTHING. */
byte start[OPERATORS] = NOTHING;

/* Readers. */
byte next[READERS];
byte version[READERS];
byte seen[READERS];        /* the newest version in force at the reader in its life */
bool ready[READERS] = true;

#define before (length == 0 -> 0 : truth[length - 1])

#ifdef NAIVE_BASE
#define accepts(base, newest) (true)
#else
#define accepts(base, newest) (newest <= base)
#endif

inline begin(o, r) {
	d_step { start[o] == NOTHING && ready[r] -> start[o] = version[r] }
}

/* An append, or its repetition after a lost answer. */
inline append(o) {
	d_step {
		start[o] != NOTHING && length < MAXLOG ->
		author[length] = o; based[length] = start[o];
		if
		:: accepts(start[o], before) -> truth[length] = length + 1; accepted[o]++
		:: else -> truth[length] = before
		fi;
		length++;
		assert(accepted[0] <= 1 && accepted[1] <= 1)
	}
}

inline fold(r) {
	d_step {
		next[r] >= first && next[r] < length ->
		if
		:: author[next[r]] != NOTHING && accepts(based[next[r]], version[r]) -> version[r] = next[r] + 1
		:: else
		fi;
		next[r]++;
		if
		:: ready[r] -> force(r)
		:: !ready[r] && next[r] == length -> ready[r] = true; force(r)
		:: else
		fi
	}
}

/* The reader's state is in force: it is the true one and no older. */
inline force(r) {
	assert(version[r] >= seen[r]);
	assert(next[r] == 0 || version[r] == truth[next[r] - 1]);
	seen[r] = version[r]
}

inline install(r, from_next, from_version) {
	if
#ifdef NAIVE_INSTALL
	:: true ->
#else
	:: from_next > next[r] ->
#endif
		next[r] = from_next; version[r] = from_version
	:: else
	fi
}

inline take_from_peer(r, p) {
	d_step {
		ready[p] -> install(r, next[p], version[p]);
		ready[r] = true;
		force(r)
	}
}

inline restate(r) {
	d_step { ready[r] && late_next == NOTHING -> late_next = next[r]; late_version = version[r] }
}

inline arrive() {
	d_step {
		late_next != NOTHING && length < MAXLOG ->
		shot_next[length] = late_next; shot_version[length] = late_version;
		truth[length] = before;
		length++;
		late_next = NOTHING; late_version = 0
	}
}

#ifdef NAIVE_GAP
#define enough(o) (true)
#else
#define enough(o) (shot_next[o] >= first)
#endif

/* A reader without a state or a peer starts from a snapshot in the log. */
inline recover(r, o) {
	d_step {
		!ready[r] && next[r] < first && o >= first && o < length && shot_next[o] != NOTHING &&
		enough(o) ->
		install(r, shot_next[o], shot_version[o]);
#ifdef NAIVE_GAP
		if :: next[r] < first -> next[r] = first :: else fi;
#endif
	}
}

inline restart(r) {
	d_step { ready[r] -> ready[r] = false; next[r] = 0; version[r] = 0; seen[r] = 0 }
}

active proctype fleet() {
	do
	:: begin(0, 0) :: begin(0, 1) :: begin(1, 0) :: begin(1, 1)
	:: append(0) :: append(1)
	:: fold(0) :: fold(1)
	:: take_from_peer(0, 1) :: take_from_peer(1, 0)
	:: restate(0) :: restate(1)
	:: arrive()
	:: d_step { first < length -> first++ }
	:: recover(0, 0) :: recover(0, 1) :: recover(0, 2) :: recover(0, 3)
	:: recover(1, 0) :: recover(1, 1) :: recover(1, 2) :: recover(1, 3)
	:: restart(0) :: restart(1)
	:: length == MAXLOG && first == length -> break
	od
}
