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

// records is this process's part of the job records: its own holder, where it
// is one, and the copying of the others' records after a restart.
type records struct {
	self    contract.HostID
	holders []contract.HostID
	dataDir string
	peers   map[contract.HostID]*link.Dialer
	log     logr.Logger
	// retention is how long a key is honoured after its job's deadline.
	retention time.Duration

	mu     sync.Mutex // guards holder
	holder *record.Holder
}

// markerFile says that a holder with this data folder has served before, and
// may have forgotten records since.
const markerFile = "record-holder"

// newRecords returns the records of the process. Its holder abstains.
func newRecords(self contract.HostID, holders []contract.HostID, peers map[contract.HostID]*link.Dialer, dataDir string, retention time.Duration, log logr.Logger) *records {
	r := &records{self: self, holders: holders, dataDir: dataDir, peers: peers, retention: retention, log: log}
	if slices.Contains(holders, self) {
		r.holder = record.NewHolder(record.Config{MaxTTL: 2 * retention}, false, time.Now())
	}
	return r
}

// caughtUp takes the end of the first quorum read. A holder that finds no
// marker in its data folder has never served, and serves at once; but a folder
// without a marker says so only where the disk is the original one: one that
// replaced a lost disk is empty too.
func (r *records) caughtUp(originalDisk bool) {
	if r.holder == nil || !originalDisk {
		return
	}
	fresh, err := mark(r.dataDir)
	if err != nil {
		r.log.Error(err, "this host copies job records before it votes on them", "remedy", "free space on the disk of the data folder or replace it")
		return
	}
	if fresh {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.holder.Serve()
	}
}

// mark reports whether dir had no marker, and leaves a synced one.
func mark(dir string) (bool, error) {
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

// Call implements entry.Caller for the holder of this process.
func (r *records) Call(_ context.Context, m contract.Message) (contract.Message, error) {
	return r.receive(m), nil
}

// receive answers a request to the holder.
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

// client returns the entry's view of the holders.
func (r *records) client(self host.Ref) *entry.Records {
	started := time.Now()
	c := &entry.Records{Self: self, Retention: r.retention, Peer: r.peer}
	c.Ready = func() bool { return r.serving() || time.Since(started) > readyLimit }
	for _, id := range r.holders {
		if id == r.self {
			c.Holders = append(c.Holders, entry.Holder{Host: id, Caller: r, Local: true})
			continue
		}
		c.Holders = append(c.Holders, entry.Holder{Host: id, Caller: r.peers[id]})
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

// Waits of the holder's upkeep.
const (
	settleWait = entry.RecordTimeout + entry.RecordTimeout/2
	copyWait   = 100 * time.Millisecond
	// readyLimit is how long an entry's readiness waits for its holder.
	readyLimit = 10 * time.Second
	copyLimit  = 30 * time.Second
	sweepWait  = 10 * time.Second
)

// run copies the records after a restart, and drops those that expire.
func (r *records) run(ctx context.Context) {
	if r.holder == nil {
		return
	}
	// No answer of an earlier process counts any more after this wait.
	wait(ctx, settleWait)
	for ctx.Err() == nil && !r.serving() {
		if r.recover(ctx) {
			r.log.Info("job records copied")
			break
		}
		wait(ctx, copyWait)
	}
	for ctx.Err() == nil {
		r.sweep()
		wait(ctx, sweepWait)
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *records) serving() bool {
	if r.holder == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Serving(time.Now())
}

// RecordsAnswer is the body of GET /admin/records.
type RecordsAnswer struct {
	// Holder says that this host holds job records.
	Holder bool `json:"holder"`
	// Serving says that it votes; otherwise it has restarted and abstains.
	Serving bool `json:"serving"`
	Records int  `json:"records"`
}

func (r *records) serveRecords(w http.ResponseWriter, _ *http.Request) {
	a := RecordsAnswer{Holder: r.holder != nil}
	if a.Holder {
		a.Serving = r.serving()
		r.mu.Lock()
		a.Records = r.holder.Len()
		r.mu.Unlock()
	}
	answer(w, a)
}

func (r *records) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Sweep(time.Now())
	metrics.RecordsHeld.Set(int64(r.holder.Len()))
}

// recover copies the records of the other holders, and reports whether the
// holder serves.
func (r *records) recover(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
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

func (r *records) copyFrom(ctx context.Context, rec *record.Recovery, id contract.HostID) {
	for next := rec.Next(id); next != nil; next = rec.Next(id) {
		reply, err := r.peers[id].Call(ctx, next)
		page, ok := reply.(*contract.RecordPage)
		if err != nil || !ok || !rec.Page(id, page) {
			return
		}
	}
}
