package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Counters holds the increase of the entries' counters during a run, summed over the
// targets.
type Counters struct {
	// Sent and FromAgents count messages by kind: those that the entries sent and those
	// that they received from agents. Together they count each message between the
	// system's processes once.
	Sent       map[string]int64 `json:"messages_sent"`
	FromAgents map[string]int64 `json:"messages_from_agents"`
	// BytesSent and BytesReceived count the bytes on the targets' links.
	BytesSent     int64 `json:"link_bytes_sent"`
	BytesReceived int64 `json:"link_bytes_received"`
	// UnreadTargets is the number of targets whose counters could not be read.
	UnreadTargets int `json:"targets_not_read"`
}

// hostCounters holds the variables that are read from a host's /debug/vars.
type hostCounters struct {
	Sent          map[string]int64 `json:"caraway_messages_sent"`
	FromAgents    map[string]int64 `json:"caraway_agent_messages_received"`
	BytesSent     int64            `json:"caraway_link_bytes_sent"`
	BytesReceived int64            `json:"caraway_link_bytes_received"`
}

// readTimeout is the timeout for reading the counters of one host.
const readTimeout = 5 * time.Second

func readCounters(ctx context.Context, client *http.Client, targets []string) Counters {
	c := Counters{Sent: make(map[string]int64), FromAgents: make(map[string]int64)}
	for _, target := range targets {
		v, err := readHostCounters(ctx, client, target)
		if err != nil {
			c.UnreadTargets++
			continue
		}
		addCounts(c.Sent, v.Sent, 1)
		addCounts(c.FromAgents, v.FromAgents, 1)
		c.BytesSent += v.BytesSent
		c.BytesReceived += v.BytesReceived
	}
	return c
}

func readHostCounters(ctx context.Context, client *http.Client, target string) (hostCounters, error) {
	var v hostCounters
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/debug/vars", nil)
	if err != nil {
		return v, err
	}
	res, err := client.Do(req)
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	return v, json.NewDecoder(res.Body).Decode(&v)
}

// addCounts adds the counts of from, multiplied by sign, to those of into.
func addCounts(into, from map[string]int64, sign int64) {
	for kind, n := range from {
		into[kind] += sign * n
	}
}

// minus returns the increase of the counters since before. It modifies the maps of c.
func (c Counters) minus(before Counters) Counters {
	addCounts(c.Sent, before.Sent, -1)
	addCounts(c.FromAgents, before.FromAgents, -1)
	c.BytesSent -= before.BytesSent
	c.BytesReceived -= before.BytesReceived
	c.UnreadTargets = max(c.UnreadTargets, before.UnreadTargets)
	return c
}

// Messages returns the total number of messages between the system's processes.
func (c Counters) Messages() int64 {
	var n int64
	for _, counts := range []map[string]int64{c.Sent, c.FromAgents} {
		for _, count := range counts {
			n += count
		}
	}
	return n
}
