package durable

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

func begin(domain string) EvacuationOrder  { return EvacuationOrder{Domain: domain, Begin: true} }
func finish(domain string) EvacuationOrder { return EvacuationOrder{Domain: domain} }

// Repeated orders must change nothing, and the last of crossed orders must win,
// whether the orders share a batch or not.
func TestEvacuationOrders(t *testing.T) {
	cases := []struct {
		name    string
		orders  []EvacuationOrder
		want    []string
		changes int
	}{
		{"begun", []EvacuationOrder{begin("b")}, []string{"b"}, 1},
		{"begun twice", []EvacuationOrder{begin("b"), begin("b")}, []string{"b"}, 1},
		{"ended without a beginning", []EvacuationOrder{finish("b")}, nil, 0},
		{"ended twice", []EvacuationOrder{begin("b"), finish("b"), finish("b")}, nil, 2},
		{"crossed, the beginning last", []EvacuationOrder{begin("b"), finish("b"), begin("b")}, []string{"b"}, 3},
		{"several, in another order", []EvacuationOrder{begin("c"), begin("a"), begin("b"), finish("c")}, []string{"a", "b"}, 4},
	}
	for _, c := range cases {
		together, apart := New(), New()
		must.Len(t, c.changes, together.Apply(&Batch{Evacuations: c.orders}).Evacuations, must.Sprint(c.name))
		for _, o := range c.orders {
			apart.Apply(&Batch{Evacuations: []EvacuationOrder{o}})
		}
		must.SliceContainsAll(t, c.want, together.Evacuated, must.Sprint(c.name))
		must.Eq(t, together.Evacuated, apart.Evacuated, must.Sprint(c.name))
	}
}

// An evacuation that only exists in the memory of a host would be lost with it.
func TestEvacuationsAreInTheSnapshot(t *testing.T) {
	b := &Batch{Evacuations: []EvacuationOrder{begin("b"), begin("a")}}
	must.False(t, b.Empty())
	data, err := b.Encode()
	must.NoError(t, err)
	decoded, err := DecodeBatch(data)
	must.NoError(t, err)
	s := New()
	s.Apply(decoded)
	data, err = s.Encode()
	must.NoError(t, err)
	restored, err := Restore(data)
	must.NoError(t, err)
	must.Eq(t, []string{"a", "b"}, restored.Evacuated)
}

// Snapshots and batches that an earlier version stored have fewer fields.
func TestEarlierSnapshotIsRestored(t *testing.T) {
	s := New()
	s.Apply(&Batch{LogTime: 7, RegisteredAgents: []AgentRegistration{{Host: "w1", Worker: contract.WorkerAnnouncement{ID: "i1", Pool: "p"}}}})
	data, err := s.Encode()
	must.NoError(t, err)
	var fields []msgpack.RawMessage
	must.NoError(t, msgpack.Unmarshal(data, &fields))
	for without := 1; without <= 2; without++ {
		data, err = msgpack.Marshal(fields[:len(fields)-without])
		must.NoError(t, err)
		restored, err := Restore(data)
		must.NoError(t, err)
		must.Eq(t, s, restored, must.Sprint("without GoneAgents: ", without == 2))
	}

	data, err = (&Batch{LogTime: 9, RemovedAgents: []contract.HostID{"w1"}}).Encode()
	must.NoError(t, err)
	must.NoError(t, msgpack.Unmarshal(data, &fields))
	data, err = msgpack.Marshal(fields[:len(fields)-1])
	must.NoError(t, err)
	b, err := DecodeBatch(data)
	must.NoError(t, err)
	must.SliceEmpty(t, b.Evacuations)
	must.Eq(t, []contract.HostID{"w1"}, b.RemovedAgents)
}
