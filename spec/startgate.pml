/*
 * One task of a job with an idempotency key: it starts at most once, and no
 * answer is a false not-run.
 *
 * Two entries submit the key, three holders keep its record, and two workers
 * may start the task. Holders and workers restart with empty memory. Holders
 * are symmetric, as are workers, so only the first of each restarts. Messages
 * may be delayed without bound, lost and reordered: a vote or a start may
 * happen at any later step, or never. A failed entry is one that takes no more
 * steps.
 *
 * The Go code names these steps: Claim and Extend (entry, record.Holder.Write),
 * Promise (record.Holder.Prepare), Takeover (entry), Recover (record.Recovery),
 * Offer and Fence (agent.Gate), Seal (entry).
 */

#define ENTRIES 2
#define HOLDERS 3
#define WORKERS 2
#define MAJORITY 2
#define LIVES 2                 /* incarnations of one worker */
#define REFS 4                  /* worker * LIVES + incarnation */
#define HOLDER_RESTARTS 1
#define MAX_ROUND 2

/* Epochs: 0 is none, 1 is contested, any other is round * 2 + entry. The number
 * of an attempt is the epoch that places it: from the plan, a takeover knows the
 * earlier attempts. */
#define CONTESTED 1
#define EPOCH(round, e) ((round) * 2 + (e))
#define FIRST_ROUND(epoch) ((epoch) < 4)
#define REF(w) ((w) * LIVES + life[w])
#define WORKER(r) ((r) / LIVES)
#define BIT(n) (1 << (n))
#define VOTES(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1))

mtype = { idle, writing, preparing, asking, queued, sent, sealing, over };

/* Holders. */
bool serving[HOLDERS];
byte epoch[HOLDERS];            /* 0 if there is no record */
byte plan[HOLDERS];             /* set of refs */
byte restarts;

/* Workers: the gate of the current incarnation. */
byte life[WORKERS];
bool started[WORKERS];
byte fenced[WORKERS];           /* attempts up to this one never start */
byte inflight[REFS];            /* set of attempts in flight */

/* Entries. */
mtype at[ENTRIES];
byte round[ENTRIES];
byte votes[ENTRIES];
byte known[ENTRIES];            /* refs in the plan read by Takeover that are still to be asked */
byte target[ENTRIES];
bool startedAtSeal[ENTRIES];

byte starts;

#define MINE(e) EPOCH(round[e], e) /* the epoch of the entry's current round */

/* The entry changes to a state in which it collects votes of holders. */
inline request(e, what) {
	at[e] = what;
	votes[e] = 0
}

/* The entry changes to a state in which it collects no votes. The variables that it
 * no longer needs are cleared, to reduce the state space. */
inline rest(e, what) {
	at[e] = what;
	votes[e] = 0;
	known[e] = 0;
	target[e] = 0;
	startedAtSeal[e] = false
}

/* An entry places its task on a worker's current incarnation. */
inline place(e, w) {
	target[e] = REF(w);
	request(e, writing);
#ifdef START_FIRST
	inflight[target[e]] = inflight[target[e]] | BIT(MINE(e))
#endif
}

inline Claim(e, w) {
	round[e] = 1;
	place(e, w)
}

/* GRANTS is the condition under which a holder grants a claim, an extension or a
 * seal. A refusal does not change the state. */
#ifdef NO_EPOCHS
#define GRANTS(h, e) (serving[h])
#else
#define GRANTS(h, e) (serving[h] && (epoch[h] == 0 || epoch[h] == MINE(e) || \
	(epoch[h] < MINE(e) && !FIRST_ROUND(MINE(e)))))
#endif
#define ASKS(h, e) ((at[e] == writing || at[e] == sealing) && !(votes[e] & BIT(h)))

inline Write(h, e) {
	epoch[h] = MINE(e);
	if
	:: at[e] == writing -> plan[h] = plan[h] | BIT(target[e])
	:: else
	fi;
	votes[e] = votes[e] | BIT(h)
}

#define PROMISES(h, e) (at[e] == preparing && serving[h] && !(votes[e] & BIT(h)) && epoch[h] <= MINE(e))

inline Promise(h, e) {
	epoch[h] = MINE(e);
#ifndef FORGET_PLAN
	known[e] = known[e] | plan[h];
#endif
	votes[e] = votes[e] | BIT(h)
}

/* The start is sent once a quorum holds its placement. */
inline Extend(e) {
	inflight[target[e]] = inflight[target[e]] | BIT(MINE(e));
	rest(e, sent)
}

inline Takeover(e) {
	round[e]++;
	known[e] = 0;
	request(e, preparing)
}

inline Offer(w, n) {
	if
	:: !started[w] && n > fenced[w] ->
		started[w] = true;
		starts++;
		assert(starts <= 1)
	:: else
	fi
}

/* An entry asks the worker of one ref in the plan whether the task has started there.
 * If it has not, the worker fences the earlier attempts. */
inline Fence(e, r) {
	if
	:: r != REF(WORKER(r)) -> rest(e, over)  /* worker restarted: the outcome is unknown */
	:: r == REF(WORKER(r)) && started[WORKER(r)] ->
		rest(e, sent)
	:: else ->
#ifndef NO_FENCE
		fenced[WORKER(r)] = MINE(e) - 1;
#endif
		known[e] = known[e] & ~BIT(r)
	fi
}

inline Restart(h) {
	restarts++;
	serving[h] = false;
	epoch[h] = 0;
	plan[h] = 0;
#ifdef AMNESIA
	serving[h] = true
#endif
}

inline merge(h, from) {
	if
#ifndef NO_CONTEST
	:: epoch[h] != 0 && epoch[from] != 0 && FIRST_ROUND(epoch[h]) && FIRST_ROUND(epoch[from]) && epoch[h] != epoch[from] ->
		epoch[h] = CONTESTED
#endif
	:: else ->
		if
		:: epoch[from] > epoch[h] -> epoch[h] = epoch[from]
		:: else
		fi
	fi;
	plan[h] = plan[h] | plan[from]
}

/* A restarted holder copies the records of the two others, which are a majority.
 * The requests for which it voted before its restart have timed out. */
inline Recover(h) {
	merge(h, (h + 1) % HOLDERS);
	merge(h, (h + 2) % HOLDERS);
	serving[h] = true;
#ifndef LATE_VOTES
	expire(0, h);
	expire(1, h)
#endif
}

inline expire(e, h) {
	if
	:: votes[e] & BIT(h) && (at[e] == writing || at[e] == preparing || at[e] == sealing) -> rest(e, over)
	:: else
	fi
}

/* An entry that gives up answers not-run only if a quorum confirms its epoch. */
inline Seal(e) {
#ifdef NO_SEAL
	assert(starts == 0);
	rest(e, over)
#else
	startedAtSeal[e] = starts > 0;
	request(e, sealing)
#endif
}

inline entryStep(e) {
	if
	:: at[e] == idle -> if :: Claim(e, 0) :: Claim(e, 1) fi
	:: ASKS(0, e) && GRANTS(0, e) -> Write(0, e)
	:: ASKS(1, e) && GRANTS(1, e) -> Write(1, e)
	:: ASKS(2, e) && GRANTS(2, e) -> Write(2, e)
	:: PROMISES(0, e) -> Promise(0, e)
	:: PROMISES(1, e) -> Promise(1, e)
	:: PROMISES(2, e) -> Promise(2, e)
	:: at[e] == writing && VOTES(votes[e]) >= MAJORITY -> Extend(e)
	:: at[e] == preparing && VOTES(votes[e]) >= MAJORITY -> at[e] = asking
	:: at[e] == sealing && VOTES(votes[e]) >= MAJORITY ->
		assert(!startedAtSeal[e]);
		rest(e, over)
	:: at[e] == writing || at[e] == preparing || at[e] == sealing -> rest(e, over)  /* no quorum, or another owner */
	:: at[e] == asking && known[e] & BIT(0) -> Fence(e, 0)
	:: at[e] == asking && known[e] & BIT(1) -> Fence(e, 1)
	:: at[e] == asking && known[e] & BIT(2) -> Fence(e, 2)
	:: at[e] == asking && known[e] & BIT(3) -> Fence(e, 3)
	:: at[e] == asking && known[e] == 0 -> at[e] = queued
	:: at[e] == queued -> if :: place(e, 0) :: place(e, 1) fi
	:: at[e] == queued -> Seal(e)
	:: at[e] == over && round[e] < MAX_ROUND -> Takeover(e)
	fi
}

inline workerStep(w) {
	if
	:: w == 0 && life[w] + 1 < LIVES ->
#ifndef ANY_INCARNATION
		inflight[REF(w)] = 0;
#endif
		life[w]++;
		started[w] = false;
		fenced[w] = 0
	:: inflight[REF(w)] & BIT(2) -> Offer(w, 2)
	:: inflight[REF(w)] & BIT(3) -> Offer(w, 3)
	:: inflight[REF(w)] & BIT(4) -> Offer(w, 4)
	:: inflight[REF(w)] & BIT(5) -> Offer(w, 5)
#ifdef ANY_INCARNATION
	:: inflight[w * LIVES] & BIT(2) -> Offer(w, 2)
#endif
	fi
}

inline holderStep(h) {
	if
	:: h == 0 && serving[h] && restarts < HOLDER_RESTARTS -> Restart(h)
	:: !serving[h] && serving[(h + 1) % HOLDERS] && serving[(h + 2) % HOLDERS] -> Recover(h)
	fi
}

init {
	d_step {
		serving[0] = true;
		serving[1] = true;
		serving[2] = true;
		at[0] = idle;
		at[1] = idle
	}
	do
	:: atomic { entryStep(0) }
	:: atomic { entryStep(1) }
	:: atomic { workerStep(0) }
	:: atomic { workerStep(1) }
	:: atomic { holderStep(0) }
	:: atomic { holderStep(1) }
	:: atomic { holderStep(2) }
	:: true -> break
	od
}
