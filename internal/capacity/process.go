package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process has used.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident float64 // bytes
	sent     float64 // bytes on links
	received float64 // bytes on links
}

// clockTick is the unit of processor time in /proc (USER_HZ).
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the program's name, and of statm.
const (
	statUser   = 11
	statSystem = 12
)

// readUsage reads a process's use from /proc and, where it has an operators'
// interface, its counters.
func readUsage(pid int, admin string) (usage, error) {
	u := usage{at: time.Now()}
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
		u.cpu += time.Duration(ticks) * clockTick
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	if err != nil {
		return u, err
	}
	u.resident = float64(pages) * float64(os.Getpagesize())
	if admin == "" {
		return u, nil
	}
	return u, u.readCounters(admin)
}

func (u *usage) readCounters(admin string) error {
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
	u.sent = vars.Sent
	u.received = vars.Received
	return nil
}

// rate is what a process used a second between two readings.
type rate struct {
	cpu   float64 // share of one core
	bytes float64 // bytes a second on links, both ways
}

func rateBetween(a, b usage) rate {
	secs := b.at.Sub(a.at).Seconds()
	return rate{
		cpu:   (b.cpu - a.cpu).Seconds() / secs,
		bytes: (b.sent - a.sent + b.received - a.received) / secs,
	}
}
