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

// CreditGrant is an agent's grant of slots to an entry for one pool. Slots is
// the total granted under Epoch; a new epoch replaces all credits of earlier
// ones, also those that entries lent to each other.
type CreditGrant struct {
	Pool  string
	Epoch uint64
	Slots int
}

// CreditReset asks the agent for a new epoch, since a loan may have been lost.
type CreditReset struct{ Pool string }

// CreditWant is one job's unmet need of slots.
type CreditWant struct {
	// Key orders wants between entries; the lowest is served first.
	Key   int64
	Slots int
}

// TeamSlots is a number of slots of one team's quota.
type TeamSlots struct {
	Team  string
	Slots int
}

// CreditAsk is what an entry wants of its peers. It replaces what it asked
// before.
type CreditAsk struct {
	Pool  string
	Wants []CreditWant
	// Life is how long the sender would take to serve the wants with what it
	// has: they count for less as it passes.
	Life time.Duration
	// Worker and Incarnation, where set, name the one worker that credits are
	// wanted for: its slots are gathered for a task that takes several.
	Worker      HostID
	Incarnation Incarnation
	// Teams are wants of quota.
	Teams []TeamSlots
}

// WorkerCredit is a number of slot credits of one worker.
type WorkerCredit struct {
	Worker      HostID
	Incarnation Incarnation
	Epoch       uint64
	Slots       int
}

// CreditLend moves credits from one entry to another for good.
type CreditLend struct {
	Pool    string
	Credits []WorkerCredit
	// Members is a digest of the entries that the quota is split between; a
	// loan of quota under another digest is void.
	Members uint64
	Teams   []TeamSlots
	// Wants and Life are the lender's own, so that they need no message.
	Wants []CreditWant
	Life  time.Duration
}

// WorkerSuspect tells an entry's peers that a worker failed tasks.
type WorkerSuspect struct {
	Pool        string
	Worker      HostID
	Incarnation Incarnation
	// Failures counts the failures in a row; zero says that it is well again.
	Failures int
	// Ejected says that the sender places nothing on it.
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
	register(
		func() Message { return new(CreditGrant) },
		func() Message { return new(CreditAsk) },
		func() Message { return new(CreditLend) },
		func() Message { return new(WorkerSuspect) },
		func() Message { return new(CreditReset) },
	)
}
