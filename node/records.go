package node

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/record"
)

// records gives this process access to the job records. If the process is a record
// holder, records contains the holder, and after a restart it copies the records of
// the other holders.
type records struct {
	self contract.HostID
	// holders are all record holders, the same list on every host.
	holders []contract.HostID
	dataDir string
	peers   map[contract.HostID]*link.Dialer
	log     logr.Logger
	// retention is how long a key is honoured after its job's deadline.
	retention time.Duration

	mu sync.Mutex // guards the state of holder; the pointer is never changed
	// holder is nil if this process is not a record holder.
	holder *record.Holder
}

// markerFile is a file in the data folder that marks a holder as having served
// before. The records are in memory only, so such a holder may have lost some when
// it restarted.
const markerFile = "record-holder"

// newRecords returns the records of the process. Its holder abstains from votes
// until tablesCaughtUp or run ends the abstention.
func newRecords(self contract.HostID, holders []contract.HostID, peers map[contract.HostID]*link.Dialer, dataDir string, retention time.Duration, log logr.Logger) *records {
	r := &records{self: self, holders: holders, dataDir: dataDir, peers: peers, retention: retention, log: log}
	if slices.Contains(holders, self) {
		r.holder = record.NewHolder(record.Config{MaxTTL: 2 * retention}, false, time.Now())
	}
	return r
}

// tablesCaughtUp is called after the first successful quorum read. A holder without
// a marker in its data folder has never served, and serves at once. A missing
// marker proves this only on the original disk, since a disk that replaced a lost
// one is empty too.
func (r *records) tablesCaughtUp(originalDisk bool) {
	if r.holder == nil || !originalDisk {
		return
	}
	created, err := createMarker(r.dataDir)
	if err != nil {
		r.log.Error(err, "record holder marker not written: this host copies the job records before it votes on them", "remedy", "free space on the disk of the data folder or replace it")
		return
	}
	if created {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.holder.Serve()
	}
}

// createMarker creates the marker in dir and syncs the file and the folder. It
// reports false if the marker already existed.
func createMarker(dir string) (bool, error) {
	f, err := os.OpenFile(filepath.Join(dir, markerFile), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return false, err
	}
	d, err := os.Open(dir)
	if err != nil {
		return false, err
	}
	return true, errors.Join(d.Sync(), d.Close())
}

// Call implements entry.Caller by calling the local holder.
func (r *records) Call(_ context.Context, m contract.Message) (contract.Message, error) {
	return r.receive(m), nil
}

// receive handles a request to the local holder and returns the reply.
func (r *records) receive(m contract.Message) contract.Message {
	if r.holder == nil {
		return link.NewFault(contract.ErrInternal.With("host %s holds no job records: give every host the same -record-holders", r.self))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch m := m.(type) {
	case *contract.RecordWrite:
		return r.holder.Write(now, m)
	case *contract.RecordPrepare:
		return r.holder.Prepare(now, m)
	case *contract.RecordCopy:
		return r.holder.Page(now, m)
	}
	return link.NewFault(contract.ErrBadRequest.With("message kind %d is no request to a record holder", m.MessageKind()))
}

// client returns the entry's client for all holders. The entry is ready once the
// local holder serves, or after readinessTimeout.
func (r *records) client(self host.Ref) *entry.RecordClient {
	started := time.Now()
	c := &entry.RecordClient{Self: self, Retention: r.retention, Peer: r.peer}
	c.HolderReady = func() bool { return r.serving() || time.Since(started) > readinessTimeout }
	for _, id := range r.holders {
		if id == r.self {
			c.Holders = append(c.Holders, entry.RecordHolder{Host: id, Caller: r, Local: true})
			continue
		}
		c.Holders = append(c.Holders, entry.RecordHolder{Host: id, Caller: r.peers[id]})
	}
	return c
}

// peer returns the open link to one incarnation of a peer, or nil.
func (r *records) peer(ref host.Ref) entry.Caller {
	d := r.peers[ref.Host]
	if d == nil {
		return nil
	}
	l := d.Link()
	if l == nil || host.FromHello(l.Remote()).Ref != ref {
		return nil
	}
	return l
}

// Intervals and limits of the holder's recovery and expiry.
const (
	// staleReplyWait is how long a restarted holder waits before it copies records.
	// It exceeds entry.RecordTimeout, after which clients ignore a holder's reply.
	staleReplyWait    = entry.RecordTimeout + entry.RecordTimeout/2
	copyRetryInterval = 100 * time.Millisecond
	// readinessTimeout is how long an entry's readiness waits for the local holder.
	readinessTimeout = 10 * time.Second
	// copyTimeout bounds one attempt to copy the records of the other holders.
	copyTimeout   = 30 * time.Second
	sweepInterval = 10 * time.Second
)

// run copies the records of the other holders after a restart, and then removes
// expired records periodically until ctx is done.
func (r *records) run(ctx context.Context) {
	if r.holder == nil {
		return
	}
	// After this wait, clients ignore every reply of an earlier process of this host.
	sleep(ctx, staleReplyWait)
	for ctx.Err() == nil && !r.serving() {
		if r.recover(ctx) {
			r.log.Info("job records copied")
			break
		}
		sleep(ctx, copyRetryInterval)
	}
	for ctx.Err() == nil {
		r.sweep()
		sleep(ctx, sweepInterval)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// serving reports whether the local holder votes; true if there is no local
// holder.
func (r *records) serving() bool {
	if r.holder == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Serving(time.Now())
}

// RecordsAnswer is the response body of GET /admin/records.
type RecordsAnswer struct {
	// Holder reports whether this host holds job records.
	Holder bool `json:"holder"`
	// Serving reports whether the holder votes; a holder that restarted abstains
	// until it has copied enough of the others' records, or all that it lost has
	// expired.
	Serving bool `json:"serving"`
	// Records is the number of records held.
	Records int `json:"records"`
}

func (r *records) serveRecords(w http.ResponseWriter, _ *http.Request) {
	a := RecordsAnswer{Holder: r.holder != nil}
	if a.Holder {
		a.Serving = r.serving()
		r.mu.Lock()
		a.Records = r.holder.Len()
		r.mu.Unlock()
	}
	writeJSON(w, a)
}

// sweep removes the expired records and updates the metric.
func (r *records) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Sweep(time.Now())
	metrics.RecordsHeld.Set(int64(r.holder.Len()))
}

// recover copies the records of the other holders, and reports whether that
// was enough for the local holder to serve.
func (r *records) recover(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	rec := record.NewRecovery(len(r.holders))
	for _, id := range r.holders {
		if id != r.self {
			r.copyFrom(ctx, rec, id)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return rec.Finish(r.holder, time.Now())
}

// copyFrom copies the records of one holder page by page. It stops at the first
// failed call, or if that holder abstains.
func (r *records) copyFrom(ctx context.Context, rec *record.Recovery, id contract.HostID) {
	for next := rec.NextRequest(id); next != nil; next = rec.NextRequest(id) {
		reply, err := r.peers[id].Call(ctx, next)
		page, ok := reply.(*contract.RecordPage)
		if err != nil || !ok || !rec.AddPage(id, page) {
			return
		}
	}
}
