// Package procuse reads what a process uses from /proc and from its counters.
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

// Usage is what a process has used.
type Usage struct {
	At       time.Time
	CPU      time.Duration
	Resident float64 // bytes
	Sent     float64 // bytes on links
	Received float64 // bytes on links
}

// clockTick is the unit of processor time in /proc (USER_HZ).
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the program's name, and of statm.
const (
	statUser   = 11
	statSystem = 12
)

// Read reads a process's use from /proc and, where it has an operators'
// interface, its counters.
func Read(pid int, admin string) (Usage, error) {
	u := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{statUser, statSystem} {
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

// Rate is what a process used a second between two readings.
type Rate struct {
	CPU   float64 // share of one core
	Bytes float64 // bytes a second on links, both ways
}

// Between returns the rate between two readings.
func Between(a, b Usage) Rate {
	secs := b.At.Sub(a.At).Seconds()
	return Rate{
		CPU:   (b.CPU - a.CPU).Seconds() / secs,
		Bytes: (b.Sent - a.Sent + b.Received - a.Received) / secs,
	}
}
