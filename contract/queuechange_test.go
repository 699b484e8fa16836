package contract

import (
	"testing"

	"github.com/shoenig/test/must"
)

func queue(name, prefix, pool string, priority int) Queue {
	return Queue{Name: name, Host: "h", PathPrefix: prefix, Pool: pool, Priority: priority}
}

// TestJobFollowsItsQueue guards against jobs that keep the queue or pool of tables that
// are no longer in force.
func TestJobFollowsItsQueue(t *testing.T) {
	before := []Queue{queue("a", "/a/", "p1", 0), queue("b", "/b/", "p1", 1)}
	cases := []struct {
		name  string
		after []Queue
		// want is the job's queue, pool and priority.
		want DurableJob
	}{
		{"nothing changed", before, DurableJob{Queue: "a", Pool: "p1"}},
		{"another pool", []Queue{queue("a", "/a/", "p2", 0)}, DurableJob{Queue: "a", Pool: "p2"}},
		{"another priority", []Queue{queue("a", "/a/", "p1", 2)}, DurableJob{Queue: "a", Pool: "p1", Priority: 2}},
		{"renamed", []Queue{queue("c", "/a/", "p2", 0)}, DurableJob{Queue: "c", Pool: "p2"}},
		{"moved to another prefix", []Queue{queue("a", "/c/", "p2", 0)}, DurableJob{Queue: "a", Pool: "p2"}},
		{"names exchanged", []Queue{queue("b", "/a/", "p2", 0), queue("a", "/b/", "p3", 0)}, DurableJob{Queue: "b", Pool: "p2"}},
		{"dropped", []Queue{queue("b", "/b/", "p2", 1)}, DurableJob{Queue: "a", Pool: "p1"}},
		{"the same prefix at another host", []Queue{{Name: "c", Host: "other", PathPrefix: "/a/", Pool: "p2"}}, DurableJob{Queue: "a", Pool: "p1"}},
		{"a second queue of the name", []Queue{queue("a", "/x/", "p2", 0), queue("a", "/a/", "p1", 0)}, DurableJob{Queue: "a", Pool: "p1"}},
	}
	for _, c := range cases {
		j := DurableJob{Queue: "a", Pool: "p1", MaxAttempts: 2, Slack: 1.5}
		c.want.MaxAttempts, c.want.Slack = j.MaxAttempts, j.Slack
		earlier := j
		changed := NewQueueChange(before, c.after).Rematch(&j)
		must.Eq(t, c.want, j, must.Sprint(c.name))
		must.Eq(t, j.Queue != earlier.Queue || j.Pool != earlier.Pool || j.Priority != earlier.Priority, changed, must.Sprint(c.name))
	}
}
