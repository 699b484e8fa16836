/* The agreement of the control hosts: a single register, agreed on in rounds
 * with ballot numbers as in Paxos. The value contains the group of members.
 * Disks may be lost, and edits may be sent again. Packages quorum and control
 * implement it; their comments name the actions below.
 *
 * A message may be lost, delayed or repeated: a proposal stays in prop forever,
 * and any disk may accept it at any later step. A disk is an acceptor; a host
 * that loses its disk comes back with a spare one.
 *
 * Bounds: BALLOTS rounds, which start in the order of their ballots and may run
 * concurrently; DISKS disks, of which the first three form the first group; two
 * edits based on the same version, each of which may be sent again in any
 * round; LOSSES lost disks.
 */
#ifndef BALLOTS
#define BALLOTS 3
#endif
#define DISKS 4
#ifndef LOSSES
#define LOSSES 1
#endif
/* What a round may do. To allow more ballots, the staged model restricts the
 * change of members to ballots 1 and 2, and the edit to later ballots. */
#ifdef STAGED
#define RACE 0
#define MAY_EDIT(b) ((b) >= 3)
#define MAY_JOIN(b) ((b) == 1)
#define MAY_SETTLE(b) ((b) == 2)
#else
#define RACE 1
#define MAY_EDIT(b) 1
#define MAY_JOIN(b) 1
#define MAY_SETTLE(b) 1
#endif
#define FIRST 7 /* the first group: disks 0, 1 and 2 */
#define EDITS 2
#define NONE 255

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define MAJORITY(set, have) (2 * SIZE((set) & (have)) > SIZE(set))
/* A quorum of a group is a majority of its members and, while the group is
 * joint, also a majority of its old members. */
#ifdef ONE_MAJORITY
#define QUORUM(m, o, have) MAJORITY(m, have)
#else
#define QUORUM(m, o, have) (MAJORITY(m, have) && ((o) == 0 || MAJORITY(o, have)))
#endif

/* The values: prop[b] is the value proposed in the round of ballot b. Ballot 0
 * holds the initial value, with the first group. */
typedef Value {
	byte edits;   /* set of applied edits */
	byte epoch;
	byte members; /* set of disks */
	byte old;     /* set of disks: the old members of a joint group, else 0 */
}
Value prop[BALLOTS + 1];

/* The rounds. */
#define IDLE 0
#define PREPARING 1
#define PROPOSED 2
#define OVER 3
typedef Round {
	byte phase;
	byte members, old; /* the group in which the round runs */
	byte promised;     /* set of disks */
	byte best, least;  /* highest and lowest accepted ballot in the promises */
	byte edit;         /* the requested edit, or NONE */
	bit refuse;        /* the answer is a conflict */
	byte accepted;     /* set of disks that accepted the proposal; cleared once
	                    * it is chosen */
	bit chosen;
}
Round round[BALLOTS + 1];

/* The disks. */
byte promised[DISKS];
byte accepted[DISKS];
byte voters = FIRST; /* set of disks that may vote */
byte lost = 0;       /* set of disks */
byte losses = 0;

/* The answers given to operators. */
byte saidOK = 0;       /* set of edits */
byte saidConflict = 0; /* set of edits */
byte jointChosen = 0;  /* set of epochs whose joint group is known to be chosen */

bit asked = 0;         /* edit 1 is requested only after edit 0: they are symmetric */

byte i, j, k; /* scratch variables within one atomic step */

/* CHECK: the chosen values are totally ordered, and no answer is contradicted
 * later. */
inline CHECK(val) {
	i = 0;
	do
	:: i <= BALLOTS ->
		if
		:: round[i].chosen && i < val ->
			assert((prop[i].edits & ~prop[val].edits) == 0);
			assert(prop[i].epoch <= prop[val].epoch);
			assert(prop[i].epoch != prop[val].epoch || (prop[i].members == prop[val].members && prop[i].old == prop[val].old))
		:: round[i].chosen && i > val ->
			assert((prop[val].edits & ~prop[i].edits) == 0);
			assert(prop[val].epoch <= prop[i].epoch);
			assert(prop[i].epoch != prop[val].epoch || (prop[i].members == prop[val].members && prop[i].old == prop[val].old))
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	assert((prop[val].edits & saidConflict) == 0)
}

/* ANSWER: the round answers the operator of its edit, if it has one. */
inline ANSWER(rnd) {
	if
	:: round[rnd].edit == NONE
	:: round[rnd].edit != NONE && round[rnd].refuse ->
		/* A conflict is correct only if another edit is chosen; it must remain
		 * correct. */
		j = 0;
		i = 0;
		do
		:: i <= BALLOTS ->
			if
			:: round[i].chosen -> j = j | prop[i].edits
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		assert(j != 0);
		assert(!HAS(j, round[rnd].edit));
		assert(!HAS(saidOK, round[rnd].edit));
		saidConflict = saidConflict | BIT(round[rnd].edit);
		j = 0
	:: round[rnd].edit != NONE && !round[rnd].refuse ->
		assert(!HAS(saidConflict, round[rnd].edit));
		saidOK = saidOK | BIT(round[rnd].edit)
	fi
}

/* CHOSEN: quorums of the round's group and of the value's group have accepted. */
inline CHOSEN(asker, val2) {
	round[val2].chosen = 1;
	round[val2].accepted = 0;
	CHECK(val2);
	if
	:: prop[val2].old != 0 -> jointChosen = jointChosen | BIT(prop[val2].epoch)
	:: else
	fi;
	ANSWER(asker);
	FORGET(asker)
}

/* FORGET: clears variables that no later step reads, to reduce the state space. */
inline FORGET(done) {
	round[done].members = 0;
	round[done].old = 0;
	round[done].edit = NONE;
	round[done].refuse = 0
}

/* START: a round starts in the group of a value that some disk has accepted. */
inline START(b, d) {
	atomic {
		round[b].phase == IDLE && !HAS(lost, d) && round[b - 1].phase != IDLE ->
		round[b].phase = PREPARING;
		round[b].members = prop[accepted[d]].members;
		round[b].old = prop[accepted[d]].old;
		round[b].least = NONE;
		round[b].edit = NONE
	}
}

/* PREPARE: a disk promises the ballot. */
inline PREPARE(b, d) {
	atomic {
		round[b].phase == PREPARING && HAS(round[b].members | round[b].old, d) && HAS(voters, d) && !HAS(lost, d) && promised[d] < b ->
		promised[d] = b;
		round[b].promised = round[b].promised | BIT(d);
		if
		:: accepted[d] > round[b].best -> round[b].best = accepted[d]
		:: else
		fi;
		if
		:: accepted[d] < round[b].least -> round[b].least = accepted[d]
		:: else
		fi
	}
}

/* PROPOSE: a quorum has promised. The round derives its value from the accepted
 * value with the highest ballot: it applies an edit, starts a change of members
 * (JOIN), ends one (SETTLE), or proposes the value unchanged. If that accepted
 * value has another group, the round ends. */
inline PROPOSE(b) {
	atomic {
		round[b].phase == PREPARING && QUORUM(round[b].members, round[b].old, round[b].promised) ->
		prop[b].edits = prop[round[b].best].edits;
		prop[b].epoch = prop[round[b].best].epoch;
		prop[b].members = prop[round[b].best].members;
		prop[b].old = prop[round[b].best].old;
		if
		:: prop[b].members != round[b].members || prop[b].old != round[b].old ->
			round[b].phase = OVER
		:: else ->
			round[b].phase = PROPOSED;
			if
			:: MAY_EDIT(b) -> EDIT(b, 0)
			:: MAY_EDIT(b) && RACE && asked -> EDIT(b, 1)
			:: MAY_JOIN(b) && prop[b].old == 0 && HAS(voters, 3) && !HAS(prop[b].members, 3) -> JOIN(b, BIT(3), 1)
			:: MAY_JOIN(b) && RACE && prop[b].old == 0 && HAS(voters, 3) && !HAS(prop[b].members, 3) -> JOIN(b, BIT(3), 0)
#ifdef SETTLE_UNSEEN
			:: MAY_SETTLE(b) && prop[b].old != 0 ->
#else
			:: MAY_SETTLE(b) && prop[b].old != 0 && HAS(jointChosen, prop[b].epoch) ->
#endif
				prop[b].old = 0;
				prop[b].epoch++
			:: skip
			fi;
			/* A value that is in all promises is already chosen. */
			if
			:: round[b].phase == PROPOSED && round[b].least == round[b].best && prop[b].edits == prop[round[b].best].edits && prop[b].epoch == prop[round[b].best].epoch ->
				round[b].phase = OVER;
				k = round[b].best;
				CHOSEN(b, k);
				k = 0
			:: else
			fi
		fi;
		round[b].promised = 0;
		round[b].best = 0;
		round[b].least = NONE;
		if
		:: round[b].phase == OVER ->
			FORGET(b);
			prop[b].edits = 0;
			prop[b].epoch = 0;
			prop[b].members = 0;
			prop[b].old = 0
		:: else
		fi
	}
}

/* EDIT: applies an edit, or answers a conflict if another edit is applied. */
inline EDIT(er, which) {
	round[er].edit = which;
	asked = 1;
	if
#ifndef EDIT_ID_DROPPED
	:: HAS(prop[er].edits, which) -> skip /* same answer as the first time */
#endif
	:: prop[er].edits == 0 -> prop[er].edits = BIT(which)
#ifdef EDIT_ID_DROPPED
	:: prop[er].edits != 0 ->
#else
	:: prop[er].edits != 0 && !HAS(prop[er].edits, which) ->
#endif
		round[er].refuse = 1;
#ifdef REFUSE_UNCHOSEN
		round[er].phase = OVER;
		ANSWER(er)
#endif
	fi
}

/* JOIN: the spare disk is added. If replace is set, it replaces the lost disk 0
 * or, if that is not lost, disk 2. */
inline JOIN(jr, spare, replace) {
#ifdef ONE_STEP
	prop[jr].old = 0;
#else
	prop[jr].old = prop[jr].members;
#endif
	prop[jr].epoch++;
	if
	:: replace && HAS(lost, 0) -> prop[jr].members = (prop[jr].members & ~BIT(0)) | spare
	:: replace && !HAS(lost, 0) -> prop[jr].members = (prop[jr].members & ~BIT(2)) | spare
	:: !replace -> prop[jr].members = prop[jr].members | spare
	fi
}

/* ACCEPT: a disk accepts a proposal, with any delay. */
inline ACCEPT(b, d) {
	atomic {
		round[b].phase == PROPOSED && accepted[d] != b && HAS(round[b].members | round[b].old | prop[b].members | prop[b].old, d) && HAS(voters, d) && !HAS(lost, d) && promised[d] <= b ->
		promised[d] = b;
		accepted[d] = b;
		if
		:: !round[b].chosen -> round[b].accepted = round[b].accepted | BIT(d)
		:: else
		fi;
		if
#if defined(ONE_STEP) || defined(ONE_MAJORITY)
		:: !round[b].chosen && QUORUM(round[b].members, round[b].old, round[b].accepted) ->
#else
		:: !round[b].chosen && QUORUM(round[b].members, round[b].old, round[b].accepted) && QUORUM(prop[b].members, prop[b].old, round[b].accepted) ->
#endif
			CHOSEN(b, b)
		:: else
		fi
	}
}

/* COPY: the spare disk, or one that is behind, copies a chosen value. */
inline COPY(b, d) {
	atomic {
		round[b].chosen && accepted[d] <= b && !HAS(lost, d) && (accepted[d] < b || !HAS(voters, d)) ->
		voters = voters | BIT(d);
		accepted[d] = b;
		if
		:: promised[d] < b -> promised[d] = b
		:: else
		fi
	}
}

/* LOSE: a disk is lost. Its host does not vote until it joins again. */
inline LOSE(d) {
	atomic {
		losses < LOSSES && !HAS(lost, d) ->
		losses++;
#ifdef AMNESIAC
		promised[d] = 0;
		accepted[d] = 0
#else
		lost = lost | BIT(d)
#endif
	}
}

#ifdef PROMISE_NOT_SYNCED
/* CRASH: a disk loses a promise that was not synced. */
inline CRASH(d) {
	atomic { promised[d] > accepted[d] -> promised[d] = accepted[d] }
}
#endif

/* ROUND: any step of one ballot. */
inline ROUND(b) {
	if
	:: START(b, 0)
	:: START(b, 1)
	:: START(b, 2)
	:: START(b, 3)
	:: PREPARE(b, 0)
	:: PREPARE(b, 1)
	:: PREPARE(b, 2)
	:: PREPARE(b, 3)
	:: PROPOSE(b)
	:: ACCEPT(b, 0)
	:: ACCEPT(b, 1)
	:: ACCEPT(b, 2)
	:: ACCEPT(b, 3)
#ifndef STAGED
	:: COPY(b, 1)
#endif
	:: COPY(b, 3)
	fi
}

active proctype System() {
	d_step {
		prop[0].members = FIRST;
		round[0].chosen = 1;
		round[0].phase = OVER
	}
end:
	do
	:: ROUND(1)
	:: ROUND(2)
	:: ROUND(3)
#if BALLOTS > 3
	:: ROUND(4)
#endif
#if BALLOTS > 4
	:: ROUND(5)
#endif
	:: COPY(0, 3)
	:: LOSE(0)
	:: LOSE(2)
#ifdef PROMISE_NOT_SYNCED
	:: CRASH(0)
	:: CRASH(1)
	:: CRASH(2)
#endif
	od
}
