package ingress

import "runtime/debug"

const (
	// processBytes is what a process takes without requests.
	processBytes = 24 << 20
	// minRequestBytes is the least that requests get, whatever the memory of the process.
	minRequestBytes = 4 << 20
)

// heapLimit returns what the Go runtime may use of the memory of a process. The rest is the
// program itself and what the runtime does not count.
func heapLimit(process int64) int64 { return process - process/4 }

// LimitHeap makes the garbage collector keep the process within its memory, in bytes.
func LimitHeap(process int64) { debug.SetMemoryLimit(heapLimit(process)) }

// RequestBytes returns what the requests of a process with the memory may hold together.
// What they leave behind until the next collection may be as much again. A memory that is
// not known, zero, gives zero.
func RequestBytes(process int64) int64 {
	if process == 0 {
		return 0
	}
	return max(minRequestBytes, (heapLimit(process)-processBytes)/2)
}

// MaxConns returns the number of connections of clients for a process that may have the
// number of sockets. The others are those to the processes of the system.
func MaxConns(sockets int) int { return sockets - sockets/4 }
