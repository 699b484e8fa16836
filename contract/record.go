package contract

import "time"

// OutcomeRecord is one line of the outcome ledger: what became of one task.
// Records of a task agree or go from unknown to known, never back.
type OutcomeRecord struct {
	Task    TaskID  `json:"task"`
	Team    string  `json:"team"`
	Route   string  `json:"route"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	// Worker and Incarnation say where it was last sent; empty where nowhere.
	Worker      HostID      `json:"worker,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	Attempt     uint32      `json:"attempt,omitempty"`
	// Round is the round of the owner, for a job with an idempotency key: a
	// resubmission starts what was not run, under a later round.
	Round uint64 `json:"round,omitempty"`
	// Unsure says that an earlier attempt of an idempotent request may have
	// run too.
	Unsure bool `json:"unsure,omitempty"`
	// Entry is the host that recorded it.
	Entry  HostID    `json:"entry"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
}

// AnswerSample measures one answer to a caller.
type AnswerSample struct {
	Route string
	Team  string
	// Total is from the request's arrival to its answer.
	Total time.Duration
	// Work is what the work itself required: the longest of its tasks.
	Work time.Duration
	// Outcome and Kind are as answered; Kind is empty for a whole answer.
	Outcome Outcome
	Kind    string
}

// Lag returns how far the answer came behind the work.
func (s AnswerSample) Lag() time.Duration { return max(0, s.Total-s.Work) }
