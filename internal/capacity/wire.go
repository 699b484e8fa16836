package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// payloadBytes is the size of the payload and of the answer of a small task.
const payloadBytes = 200

// wireCase is a message whose encoded size grows with a number of elements. size names
// the element, and counts are the measured numbers.
type wireCase struct {
	name, size string
	counts     []int
	message    func(n int) contract.Message
}

func wireCases() []wireCase {
	smallCounts := []int{1, 10, 100}
	return []wireCase{
		{"start message", "payload byte", []int{20, payloadBytes, 2000}, startMessage},
		{"result message", "body byte", []int{20, payloadBytes, 2000}, resultMessage},
		{"result acknowledgement", "task", smallCounts, func(n int) contract.Message { return &contract.ResultAck{Tasks: taskIDs(n)} }},
		{"fence", "task", smallCounts, func(n int) contract.Message { return &contract.Fence{Tasks: taskIDs(n)} }},
		{"tables delta", "changed route", []int{1, 10, 100}, deltaMessage},
	}
}

func startMessage(n int) contract.Message {
	return &contract.Start{
		Task: taskID(0), To: 1 << 60, Attempt: 1, Route: "cards", Pool: "formula", Method: "POST", Path: "/cards",
		Payload: make([]byte, n), Demand: contract.Demand{Slots: 1}, Lease: time.Second, TablesVersion: 1000,
	}
}

func resultMessage(n int) contract.Message {
	return &contract.Result{Task: taskID(0), Attempt: 1, Outcome: contract.OutcomeRan, Status: 200, Body: make([]byte, n), Elapsed: time.Second}
}

func deltaMessage(n int) contract.Message {
	d := &contract.TablesDelta{From: 1000, Tables: contract.Tables{Version: 1001}}
	for i := range n {
		d.Tables.Routes = append(d.Tables.Routes, newRoute(i))
	}
	return d
}

func newRoute(i int) contract.Route {
	return contract.Route{Name: fmt.Sprintf("route-%04d", i), Host: "cards.example", PathPrefix: fmt.Sprintf("/cards/%04d", i), Method: "POST", Pool: "formula", Version: contract.Version(i)}
}

func taskID(i int) contract.TaskID {
	return contract.TaskID{Job: contract.KeyedJobID("team", "key"), Index: uint32(i)}
}

func taskIDs(n int) []contract.TaskID {
	out := make([]contract.TaskID, n)
	for i := range out {
		out[i] = taskID(i)
	}
	return out
}

// wireSlopes measures, for each message, its size on the wire and the time to encode
// and decode it.
func wireSlopes() ([]slope, error) {
	var out []slope
	for _, c := range wireCases() {
		var size, cost []point
		for _, n := range c.counts {
			raw, err := link.AppendFrame(nil, link.Frame{Message: c.message(n)})
			if err != nil {
				return nil, err
			}
			ns, err := codecTime(c.message(n))
			if err != nil {
				return nil, err
			}
			size = append(size, point{float64(n), float64(len(raw))})
			cost = append(cost, point{float64(n), ns})
		}
		for _, m := range []struct {
			unit   string
			points []point
		}{{"bytes", size}, {"ns", cost}} {
			s, err := newSlope(c.name, c.size, m.unit, m.points)
			if err != nil {
				return nil, err
			}
			out = append(out, s)
		}
	}
	return out, nil
}

// codecRounds is the number of times that a message is encoded and decoded in one
// measurement.
const codecRounds = 2000

// codecTime returns the time, in nanoseconds, to encode and decode a message once.
func codecTime(m contract.Message) (float64, error) {
	var buf []byte
	began := time.Now()
	for range codecRounds {
		raw, err := link.AppendFrame(buf[:0], link.Frame{Message: m})
		if err != nil {
			return 0, err
		}
		if _, err := link.ReadFrame(bytes.NewReader(raw)); err != nil {
			return 0, err
		}
		buf = raw
	}
	return float64(time.Since(began).Nanoseconds()) / codecRounds, nil
}
