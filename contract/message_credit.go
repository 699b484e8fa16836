package contract

import "time"

// The message kinds of slot credits.
const (
	KindCreditGrant   MessageKind = 60
	KindCreditAsk     MessageKind = 61
	KindCreditLend    MessageKind = 62
	KindWorkerSuspect MessageKind = 63
	KindCreditReset   MessageKind = 64
)

// CreditGrant grants an entry credits for slots of the sending agent's worker,
// for one pool. Slots is the total granted under Epoch. A new epoch invalidates
// all credits of earlier epochs, including those that entries lent each other.
type CreditGrant struct {
	Pool  string
	Epoch uint64
	Slots int
}

// CreditReset asks the agent for a new epoch, because a loan of credits may have
// been lost.
type CreditReset struct{ Pool string }

// CreditWant is the number of slots that an entry wants each of its peers to lend
// it for the queued tasks of one job. The last CreditWant of a message may cover
// several jobs.
type CreditWant struct {
	// OrderKey orders the wants of all entries: those with the lowest key are
	// served first.
	OrderKey int64
	Slots    int
}

// TeamSlots is a part of one team's quota, in slots.
type TeamSlots struct {
	Team  string
	Slots int
}

// CreditAsk asks the other entries for credits and quota. It replaces the
// sender's earlier CreditAsk.
type CreditAsk struct {
	Pool  string
	Wants []CreditWant
	// WantsLife is the estimated time in which the sender could serve its queue
	// with the credits that it has. As that time passes, the receiver reduces the
	// wants.
	WantsLife time.Duration
	// Worker and Incarnation, if set, restrict the wants to credits of one
	// worker, on which the sender reserves slots for a task that needs several.
	Worker      HostID
	Incarnation Incarnation
	// QuotaWants holds the quota that the sender asks for, by team.
	QuotaWants []TeamSlots
}

// WorkerCredit is a number of slot credits of one worker.
type WorkerCredit struct {
	Worker      HostID
	Incarnation Incarnation
	Epoch       uint64
	Slots       int
}

// CreditLend lends credits and quota to another entry. The transfer is permanent:
// the receiver does not return them.
type CreditLend struct {
	Pool    string
	Credits []WorkerCredit
	// EntriesDigest is a digest of the entries that share the quotas. The receiver
	// ignores QuotaLoans if its own digest differs.
	EntriesDigest uint64
	// QuotaLoans holds the quota that is transferred, by team.
	QuotaLoans []TeamSlots
	// Wants and WantsLife are the lender's own wants, as in CreditAsk. They are
	// included to save a separate message.
	Wants     []CreditWant
	WantsLife time.Duration
}

// WorkerSuspect informs the other entries that a worker failed tasks.
type WorkerSuspect struct {
	Pool        string
	Worker      HostID
	Incarnation Incarnation
	// Failures is the number of consecutive failures; zero means that the worker
	// is healthy again.
	Failures int
	// Ejected is set if the sender places no tasks on the worker.
	Ejected bool
}

// MessageKind implements Message.
func (*CreditGrant) MessageKind() MessageKind { return KindCreditGrant }

// MessageKind implements Message.
func (*CreditAsk) MessageKind() MessageKind { return KindCreditAsk }

// MessageKind implements Message.
func (*CreditLend) MessageKind() MessageKind { return KindCreditLend }

// MessageKind implements Message.
func (*WorkerSuspect) MessageKind() MessageKind { return KindWorkerSuspect }

// MessageKind implements Message.
func (*CreditReset) MessageKind() MessageKind { return KindCreditReset }

func init() {
	registerMessages(
		func() Message { return new(CreditGrant) },
		func() Message { return new(CreditAsk) },
		func() Message { return new(CreditLend) },
		func() Message { return new(WorkerSuspect) },
		func() Message { return new(CreditReset) },
	)
}
