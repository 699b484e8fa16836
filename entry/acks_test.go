package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// TestAcksWaitForTheLedger checks that a result is acknowledged only once its
// outcome is durable, since its agent discards the result then.
func TestAcksWaitForTheLedger(t *testing.T) {
	var a acks
	ref := host.Ref{Host: "w1", Incarnation: 1}
	first := contract.TaskID{Job: "j", Index: 0}
	second := contract.TaskID{Job: "j", Index: 1}
	must.True(t, a.add(ref, pendingAck{task: first, position: 3}))
	must.False(t, a.add(ref, pendingAck{task: second, position: 4}))

	upTo := func(last uint64) func(uint64) bool { return func(p uint64) bool { return p <= last } }
	must.SliceEmpty(t, a.takeDurable(ref, upTo(2)))
	must.Eq(t, []contract.TaskID{first}, a.takeDurable(ref, upTo(3)))
	refs, more := a.pendingWorkers()
	must.Eq(t, []host.Ref{ref}, refs)
	must.True(t, more)
	must.Eq(t, []contract.TaskID{second}, a.takeDurable(ref, upTo(4)))
	_, more = a.pendingWorkers()
	must.False(t, more)
}
