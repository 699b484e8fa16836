package record

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Config is the configuration of a Holder. A zero field means its default.
type Config struct {
	// MaxRecords is the maximum number of records kept at once.
	MaxRecords int
	// MaxPlacements is the maximum number of placements in all plans together.
	MaxPlacements int
	// MaxTTL is the maximum time that a record is kept after its last write. Once
	// MaxTTL has passed after a restart, all records lost in it have expired.
	MaxTTL time.Duration
}

// The defaults of Config.
const (
	DefaultMaxRecords    = 200_000
	DefaultMaxPlacements = 2_000_000
	// DefaultRetention is how long an idempotency key is honoured after its job's
	// deadline.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxTTL covers the deadline of a job with an idempotency key and the
	// retention after it. Each is at most the configured retention, which must not
	// exceed DefaultRetention.
	DefaultMaxTTL = 2 * DefaultRetention
)

func (c Config) withDefaults() Config {
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxPlacements == 0 {
		c.MaxPlacements = DefaultMaxPlacements
	}
	if c.MaxTTL == 0 {
		c.MaxTTL = DefaultMaxTTL
	}
	return c
}

// Holder is one replica of the job records. It votes on the requests of the jobs'
// owners.
type Holder struct {
	cfg        Config
	serving    bool      // false while the holder abstains
	servesFrom time.Time // when an abstention ends even without a recovery
	// buckets are the records, grouped by the hash of their job's ID. A recovery
	// copies one bucket per request.
	buckets        [Buckets]map[contract.JobID]*jobRecord
	recordCount    int
	placementCount int // in all plans together
}

// Buckets is the number of buckets into which a holder divides its records.
const Buckets = 64

func bucketOf(id contract.JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % Buckets)
}

// jobRecord is the record of one job.
type jobRecord struct {
	digest  string
	epoch   contract.RecordEpoch
	plan    plan
	expires time.Time
}

// NewHolder returns an empty holder. If fresh is set, the holder has never served
// before, cannot have lost records, and serves at once. Otherwise it abstains until
// Serve is called, a Recovery finishes, or MaxTTL has passed.
func NewHolder(cfg Config, fresh bool, now time.Time) *Holder {
	cfg = cfg.withDefaults()
	return &Holder{cfg: cfg, serving: fresh, servesFrom: now.Add(cfg.MaxTTL)}
}

// Serving reports whether the holder votes: it has lost no record that has not
// expired.
func (h *Holder) Serving(now time.Time) bool {
	if !h.serving && !now.Before(h.servesFrom) {
		h.serving = true
	}
	return h.serving
}

// Serve ends the abstention of a holder that has never served before.
func (h *Holder) Serve() { h.serving = true }

// Len returns the number of records.
func (h *Holder) Len() int { return h.recordCount }

// Write votes on a claim of a record or an extension of its plan. A write without
// placements confirms that its epoch still owns the record. Write implements the
// step of that name in the specification, spec/startgate.pml.
func (h *Holder) Write(now time.Time, m *contract.RecordWrite) *contract.RecordReply {
	r, refusal := h.getOrCreate(now, m.Job, m.Digest, m.Epoch)
	if refusal != nil {
		return refusal
	}
	// A requester in the first round has not read a quorum, so it must not replace
	// another owner.
	if r.epoch != m.Epoch && (m.Epoch.Less(r.epoch) || m.Epoch.Round == contract.FirstRound) {
		return &contract.RecordReply{Verdict: contract.RecordOwned, Promised: r.epoch}
	}
	h.renew(r, now, m.Epoch, m.TTL)
	if n := len(m.Plan); h.placementCount+n > h.cfg.MaxPlacements && !h.sweepForPlacements(now, n) {
		return &contract.RecordReply{Verdict: contract.RecordFull}
	}
	h.placementCount += r.plan.add(m.Plan)
	return &contract.RecordReply{Verdict: contract.RecordGranted, Promised: m.Epoch}
}

// Prepare votes on the takeover of a record by another owner, and returns the
// record's plan. It implements the Promise step of the specification,
// spec/startgate.pml.
func (h *Holder) Prepare(now time.Time, m *contract.RecordPrepare) *contract.RecordReply {
	r, refusal := h.getOrCreate(now, m.Job, m.Digest, m.Epoch)
	if refusal != nil {
		return refusal
	}
	if m.Epoch.Less(r.epoch) {
		return &contract.RecordReply{Verdict: contract.RecordOwned, Promised: r.epoch}
	}
	h.renew(r, now, m.Epoch, m.TTL)
	return &contract.RecordReply{Verdict: contract.RecordGranted, Promised: m.Epoch, Plan: slices.Clone(r.plan)}
}

// getOrCreate returns the job's record, and creates it if it does not exist or has
// expired. It returns a refusal instead if the holder abstains or is full, or if
// the record has another digest.
func (h *Holder) getOrCreate(now time.Time, job contract.JobID, digest string, e contract.RecordEpoch) (*jobRecord, *contract.RecordReply) {
	if !h.Serving(now) {
		return nil, &contract.RecordReply{Verdict: contract.RecordAbstains}
	}
	r, ok := h.get(job)
	if ok && !now.Before(r.expires) {
		h.remove(job, r)
		ok = false
	}
	if ok && r.digest == conflictingDigest {
		return nil, &contract.RecordReply{Verdict: contract.RecordContested, Promised: r.epoch}
	}
	if ok && r.digest != digest {
		return nil, &contract.RecordReply{Verdict: contract.RecordConflict, Promised: r.epoch}
	}
	if !ok {
		if h.recordCount >= h.cfg.MaxRecords {
			h.Sweep(now)
		}
		if h.recordCount >= h.cfg.MaxRecords {
			return nil, &contract.RecordReply{Verdict: contract.RecordFull}
		}
		r = h.put(job, &jobRecord{digest: digest, epoch: e})
	}
	return r, nil
}

// sweepForPlacements removes the expired records, and reports whether the given
// number of additional placements then fits.
func (h *Holder) sweepForPlacements(now time.Time, placements int) bool {
	h.Sweep(now)
	return h.placementCount+placements <= h.cfg.MaxPlacements
}

func (h *Holder) get(id contract.JobID) (*jobRecord, bool) {
	r, ok := h.buckets[bucketOf(id)][id]
	return r, ok
}

func (h *Holder) put(id contract.JobID, r *jobRecord) *jobRecord {
	b := bucketOf(id)
	if h.buckets[b] == nil {
		h.buckets[b] = make(map[contract.JobID]*jobRecord)
	}
	h.buckets[b][id] = r
	h.recordCount++
	return r
}

// remove removes the record r of a job.
func (h *Holder) remove(id contract.JobID, r *jobRecord) {
	delete(h.buckets[bucketOf(id)], id)
	h.recordCount--
	h.placementCount -= len(r.plan)
}

// renew sets the epoch of r, and extends its lifetime to at least ttl from now,
// bounded by MaxTTL.
func (h *Holder) renew(r *jobRecord, now time.Time, e contract.RecordEpoch, ttl time.Duration) {
	r.epoch = e
	if end := now.Add(min(ttl, h.cfg.MaxTTL)); end.After(r.expires) {
		r.expires = end
	}
}

// Sweep removes the records that have expired.
func (h *Holder) Sweep(now time.Time) {
	for _, bucket := range h.buckets {
		for id, r := range bucket {
			if !now.Before(r.expires) {
				h.remove(id, r)
			}
		}
	}
}

// Page returns the records of one bucket to a restarted holder that copies them. If
// this holder abstains or the bucket does not exist, the page is empty and its
// Serving is false.
func (h *Holder) Page(now time.Time, m *contract.RecordCopy) *contract.RecordPage {
	if !h.Serving(now) || m.Bucket < 0 || m.Bucket >= Buckets {
		return &contract.RecordPage{}
	}
	p := &contract.RecordPage{Serving: true}
	for id, r := range h.buckets[m.Bucket] {
		if now.Before(r.expires) {
			p.Records = append(p.Records, contract.JobRecord{
				Job: id, Digest: r.digest, Epoch: r.epoch, Plan: slices.Clone(r.plan), TTL: r.expires.Sub(now),
			})
		}
	}
	return p
}

// conflictingDigest is the digest of a merged record whose copies have different
// digests. No body has this digest, so no request is granted the record.
const conflictingDigest = ""

// merge merges the copy of another holder's record into the holder's records.
func (h *Holder) merge(now time.Time, c contract.JobRecord) {
	r, ok := h.get(c.Job)
	if !ok {
		r = h.put(c.Job, &jobRecord{digest: c.Digest})
	}
	if r.digest != c.Digest {
		r.digest = conflictingDigest
	}
	r.epoch = mergeEpochs(r.epoch, c.Epoch)
	h.renew(r, now, r.epoch, c.TTL)
	h.placementCount += r.plan.add(c.Plan)
}

// contestedEpoch is the epoch of a merged record whose copies were claimed by
// different owners in the first round. At most one of them has a quorum, and
// neither knows the other's plan. This epoch equals neither of theirs, so the
// holder grants the record only to an owner in a later round.
var contestedEpoch = contract.RecordEpoch{Round: contract.FirstRound}

// mergeEpochs returns the epoch of a merged record whose copies have the epochs a
// and b.
func mergeEpochs(a, b contract.RecordEpoch) contract.RecordEpoch {
	if a.Round == contract.FirstRound && b.Round == contract.FirstRound && a != b {
		return contestedEpoch
	}
	if a.Less(b) {
		return b
	}
	return a
}

// Recovery copies the records of the other holders to a restarted holder. It
// implements the Recover step of the specification, spec/startgate.pml.
type Recovery struct {
	quorum int // number of complete copies that Finish requires
	copies map[contract.HostID]*holderCopy
}

// holderCopy is the records copied from one holder.
type holderCopy struct {
	records       []contract.JobRecord
	bucketsCopied int // buckets are copied in order
}

// NewRecovery returns a recovery among n holders, including the restarted one. It
// requires complete copies from a majority of the n holders, and the restarted one
// is not among them. Every quorum that the restarted holder was part of then has
// another member whose records were copied.
func NewRecovery(n int) *Recovery {
	return &Recovery{quorum: Majority(n), copies: make(map[contract.HostID]*holderCopy)}
}

// NextRequest returns the request for the next bucket of another holder, or nil if
// all its buckets have been copied.
func (r *Recovery) NextRequest(from contract.HostID) *contract.RecordCopy {
	c := r.copies[from]
	switch {
	case c == nil:
		return &contract.RecordCopy{}
	case c.bucketsCopied < Buckets:
		return &contract.RecordCopy{Bucket: c.bucketsCopied}
	}
	return nil
}

// AddPage adds the reply to the request that NextRequest returned. If the other
// holder abstains, it discards what was copied from that holder and returns false.
func (r *Recovery) AddPage(from contract.HostID, p *contract.RecordPage) bool {
	if !p.Serving {
		delete(r.copies, from)
		return false
	}
	if r.copies[from] == nil {
		r.copies[from] = &holderCopy{}
	}
	c := r.copies[from]
	c.records = append(c.records, p.Records...)
	c.bucketsCopied++
	return true
}

// Finish reports whether enough holders have been copied completely. If so, it
// merges all copies, complete or not, into h and makes it serve.
func (r *Recovery) Finish(h *Holder, now time.Time) bool {
	complete := 0
	for _, c := range r.copies {
		if c.bucketsCopied == Buckets {
			complete++
		}
	}
	if complete < r.quorum {
		return false
	}
	for _, c := range r.copies {
		for _, rec := range c.records {
			h.merge(now, rec)
		}
	}
	h.serving = true
	return true
}
