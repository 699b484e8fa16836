package hub

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

func jobOf(id string, spec, steps int) *contract.DurableJob {
	j := &contract.DurableJob{ID: contract.DurableJobID(id), Spec: strings.Repeat("x", spec)}
	for range steps {
		j.Steps = append(j.Steps, contract.DurableStep{Count: 1})
	}
	return j
}

func TestJobMemory(t *testing.T) {
	const process = 96 << 20
	m := newJobMemory(process)
	must.Eq(t, process/keptDivisor, m.kept.limit)
	must.Eq(t, maxKeptBytes, newJobMemory(4<<30).kept.limit)

	large := jobOf("large", 0, 9000)
	must.True(t, m.hasRoom(large.Footprint(), false, 0))
	m.add(large, false)
	m.add(large, false)
	must.Eq(t, large.Footprint(), m.kept.held, must.Sprint("a job counts once"))
	must.False(t, m.hasRoom(large.Footprint(), false, 0), must.Sprint("a second large job leaves nothing to the others"))
	must.True(t, m.hasRoom(large.Footprint(), true, 0), must.Sprint("other jobs have memory of their own"))

	small := jobOf("small", 4000, 1)
	n := 0
	for ; m.hasRoom(small.Footprint(), false, 0); n++ {
		m.add(jobOf(fmt.Sprint("small", n), 4000, 1), false)
	}
	must.Greater(t, 100, n)
	must.LessEq(t, m.kept.limit, m.kept.held)
	m.remove("large")
	m.remove("large")
	must.True(t, m.hasRoom(small.Footprint(), false, 0))
	must.False(t, m.hasRoom(small.Footprint(), false, int(m.kept.limit)/contract.EndedJobBytes), must.Sprint("ended jobs that are still known count"))
	for i := range n {
		m.remove(contract.DurableJobID(fmt.Sprint("small", i)))
	}
	must.Eq(t, 0, m.kept.held)
	must.MapEmpty(t, m.sizes)
}

// The largest state that the limit allows fits into one message.
func TestLargestStateFitsIntoASnapshot(t *testing.T) {
	for name, job := range map[string]func(id string) *contract.DurableJob{
		"specs": func(id string) *contract.DurableJob { return jobOf(id, 4000, 1) },
		"steps": func(id string) *contract.DurableJob { return jobOf(id, 0, 1000) },
		"small": func(id string) *contract.DurableJob { return jobOf(id, 0, 1) },
	} {
		m, s := newJobMemory(4<<30), durable.New()
		b := durable.Batch{}
		for n := 0; ; n++ {
			j := job(fmt.Sprintf("%016x", n))
			if !m.hasRoom(j.Footprint(), false, 0) {
				break
			}
			m.add(j, false)
			b.Submits = append(b.Submits, *j)
		}
		s.Apply(&b)
		data, err := s.Encode()
		must.NoError(t, err)
		must.Less(t, 20<<20, len(data), must.Sprint(name))
	}
}

func TestIntakeWaitsForRoom(t *testing.T) {
	i := newIntake(100)
	ctx := context.Background()
	first, err := i.enter(ctx, 60)
	must.NoError(t, err)
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = i.enter(short, 60)
	must.ErrorIs(t, err, context.DeadlineExceeded)
	entered := make(chan func())
	go func() {
		done, err := i.enter(ctx, 1_000_000)
		must.NoError(t, err)
		entered <- done
	}()
	first()
	(<-entered)()
	_, err = i.enter(ctx, 100)
	must.NoError(t, err)
}
