// Package procuse reads the resource usage of a process from /proc and from the
// metrics that it exposes.
package procuse

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is one reading of the resource usage of a process. CPU, Sent and Received
// are totals since the process started.
type Usage struct {
	At       time.Time
	CPU      time.Duration
	Resident float64 // bytes
	Sent     float64 // bytes sent on links
	Received float64 // bytes received on links
}

// clockTick is the unit of CPU time in /proc/PID/stat (USER_HZ).
const clockTick = 10 * time.Millisecond

// Indexes of the CPU time fields in /proc/PID/stat, counted from the field after
// the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// Read reads the usage of a process from /proc. The link traffic is read from the
// metrics at the admin address, unless admin is empty.
func Read(pid int, admin string) (Usage, error) {
	u := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	if err != nil {
		return u, err
	}
	u.Resident = float64(pages) * float64(os.Getpagesize())
	if admin == "" {
		return u, nil
	}
	return u, u.readCounters(admin)
}

func (u *Usage) readCounters(admin string) error {
	res, err := http.Get("http://" + admin + "/debug/vars")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var vars struct {
		Sent     float64 `json:"caraway_link_bytes_sent"`
		Received float64 `json:"caraway_link_bytes_received"`
	}
	if err := json.NewDecoder(res.Body).Decode(&vars); err != nil {
		return err
	}
	u.Sent = vars.Sent
	u.Received = vars.Received
	return nil
}

// Rate is the average resource usage per second between two readings.
type Rate struct {
	CPU   float64 // share of one core
	Bytes float64 // bytes per second on links, in both directions
}

// Between returns the average rate from reading a to the later reading b.
func Between(a, b Usage) Rate {
	secs := b.At.Sub(a.At).Seconds()
	return Rate{
		CPU:   (b.CPU - a.CPU).Seconds() / secs,
		Bytes: (b.Sent - a.Sent + b.Received - a.Received) / secs,
	}
}
