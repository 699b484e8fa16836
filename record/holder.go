package record

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Config bounds a holder.
type Config struct {
	// MaxRecords bounds the records that are kept at once.
	MaxRecords int
	// MaxPlacements bounds the placements of all plans together.
	MaxPlacements int
	// MaxTTL bounds how long a record is kept, from its last write: a holder
	// that restarted has forgotten nothing that is older.
	MaxTTL time.Duration
}

// The defaults of Config.
const (
	DefaultMaxRecords    = 200_000
	DefaultMaxPlacements = 2_000_000
	// DefaultRetention is how long a key is honoured after its job's deadline.
	DefaultRetention = 10 * time.Minute
	DefaultMaxTTL    = 2 * DefaultRetention
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

// Holder keeps records for the owners of jobs.
type Holder struct {
	cfg     Config
	serving bool
	until   time.Time // when an abstaining holder serves in any case
	// buckets hold the records by the hash of their job: one is copied at once.
	buckets    [Buckets]map[contract.JobID]*held
	records    int
	placements int
}

// Buckets is the number of parts in which records are copied.
const Buckets = 64

func bucketOf(id contract.JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % Buckets)
}

type held struct {
	digest  string
	epoch   contract.RecordEpoch
	plan    plan
	expires time.Time
}

// NewHolder returns an empty holder. It serves at once where fresh says that
// it has never served before; otherwise it abstains.
func NewHolder(cfg Config, fresh bool, now time.Time) *Holder {
	cfg = cfg.withDefaults()
	return &Holder{cfg: cfg, serving: fresh, until: now.Add(cfg.MaxTTL)}
}

// Serving reports whether the holder has forgotten nothing that counts.
func (h *Holder) Serving(now time.Time) bool {
	if !h.serving && !now.Before(h.until) {
		h.serving = true
	}
	return h.serving
}

// Serve ends the abstention of a holder that has never served before.
func (h *Holder) Serve() { h.serving = true }

// Len returns the number of records.
func (h *Holder) Len() int { return h.records }

// Write answers a claim or an extension. It is the specification's Write.
func (h *Holder) Write(now time.Time, m *contract.RecordWrite) *contract.RecordReply {
	r, refusal := h.open(now, m.Job, m.Digest, m.Epoch)
	if refusal != nil {
		return refusal
	}
	// A first-round owner has read no quorum: it may not follow another.
	if r.epoch != m.Epoch && (m.Epoch.Less(r.epoch) || m.Epoch.Round == contract.FirstRound) {
		return &contract.RecordReply{Verdict: contract.RecordOwned, Promised: r.epoch}
	}
	h.keep(r, now, m.Epoch, m.TTL)
	if n := len(m.Plan); h.placements+n > h.cfg.MaxPlacements && !h.makeRoom(now, n) {
		return &contract.RecordReply{Verdict: contract.RecordFull}
	}
	h.placements += r.plan.add(m.Plan)
	return &contract.RecordReply{Verdict: contract.RecordGranted, Promised: m.Epoch}
}

// Prepare answers a takeover. It is the specification's Promise.
func (h *Holder) Prepare(now time.Time, m *contract.RecordPrepare) *contract.RecordReply {
	r, refusal := h.open(now, m.Job, m.Digest, m.Epoch)
	if refusal != nil {
		return refusal
	}
	if m.Epoch.Less(r.epoch) {
		return &contract.RecordReply{Verdict: contract.RecordOwned, Promised: r.epoch}
	}
	h.keep(r, now, m.Epoch, m.TTL)
	return &contract.RecordReply{Verdict: contract.RecordGranted, Promised: m.Epoch, Plan: slices.Clone(r.plan)}
}

// open returns the job's record, new where there is none, or the refusal.
func (h *Holder) open(now time.Time, job contract.JobID, digest string, e contract.RecordEpoch) (*held, *contract.RecordReply) {
	if !h.Serving(now) {
		return nil, &contract.RecordReply{Verdict: contract.RecordAbstains}
	}
	r, ok := h.get(job)
	if ok && !now.Before(r.expires) {
		h.drop(job, r)
		ok = false
	}
	if ok && r.digest != digest {
		return nil, &contract.RecordReply{Verdict: contract.RecordConflict, Promised: r.epoch}
	}
	if !ok {
		if h.records >= h.cfg.MaxRecords {
			h.Sweep(now)
		}
		if h.records >= h.cfg.MaxRecords {
			return nil, &contract.RecordReply{Verdict: contract.RecordFull}
		}
		r = h.put(job, &held{digest: digest, epoch: e})
	}
	return r, nil
}

// makeRoom drops what has expired, and reports whether there is room for more
// placements.
func (h *Holder) makeRoom(now time.Time, placements int) bool {
	h.Sweep(now)
	return h.placements+placements <= h.cfg.MaxPlacements
}

func (h *Holder) get(id contract.JobID) (*held, bool) {
	r, ok := h.buckets[bucketOf(id)][id]
	return r, ok
}

func (h *Holder) put(id contract.JobID, r *held) *held {
	b := bucketOf(id)
	if h.buckets[b] == nil {
		h.buckets[b] = make(map[contract.JobID]*held)
	}
	h.buckets[b][id] = r
	h.records++
	return r
}

func (h *Holder) drop(id contract.JobID, r *held) {
	delete(h.buckets[bucketOf(id)], id)
	h.records--
	h.placements -= len(r.plan)
}

func (h *Holder) keep(r *held, now time.Time, e contract.RecordEpoch, ttl time.Duration) {
	r.epoch = e
	if end := now.Add(min(ttl, h.cfg.MaxTTL)); end.After(r.expires) {
		r.expires = end
	}
}

// Sweep drops the records that have expired.
func (h *Holder) Sweep(now time.Time) {
	for _, bucket := range h.buckets {
		for id, r := range bucket {
			if !now.Before(r.expires) {
				h.drop(id, r)
			}
		}
	}
}

// Page answers a holder that copies the records.
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

// tornDigest marks a record that two holders keep for different bodies: no
// body matches it.
const tornDigest = ""

// merge takes a copied record.
func (h *Holder) merge(now time.Time, c contract.JobRecord) {
	r, ok := h.get(c.Job)
	if !ok {
		r = h.put(c.Job, &held{digest: c.Digest})
	}
	if r.digest != c.Digest {
		r.digest = tornDigest
	}
	r.epoch = mergeEpochs(r.epoch, c.Epoch)
	h.keep(r, now, r.epoch, c.TTL)
	h.placements += r.plan.add(c.Plan)
}

// contested is the epoch of a record that two first-round owners claim: at most
// one of them has a quorum, and neither knows the other's plan. Only a later
// round may follow it.
var contested = contract.RecordEpoch{Round: contract.FirstRound}

func mergeEpochs(a, b contract.RecordEpoch) contract.RecordEpoch {
	if a.Round == contract.FirstRound && b.Round == contract.FirstRound && a != b {
		return contested
	}
	if a.Less(b) {
		return b
	}
	return a
}

// Recovery gathers the records of the other holders for one that restarted.
// It is the specification's Recover.
type Recovery struct {
	need   int
	copies map[contract.HostID]*holderCopy
}

// holderCopy is what was copied of one holder.
type holderCopy struct {
	records []contract.JobRecord
	buckets int
}

// NewRecovery returns a recovery among n holders, the restarted one included.
// A majority must be copied that does not count the restarted holder: each
// quorum that it was part of then leaves a member among those copied.
func NewRecovery(n int) *Recovery {
	return &Recovery{need: Majority(n), copies: make(map[contract.HostID]*holderCopy)}
}

// Next returns the request for what is missing of another holder, or nil.
func (r *Recovery) Next(from contract.HostID) *contract.RecordCopy {
	c := r.copies[from]
	switch {
	case c == nil:
		return &contract.RecordCopy{}
	case c.buckets < Buckets:
		return &contract.RecordCopy{Bucket: c.buckets}
	}
	return nil
}

// Page takes the answer to the request that Next returned. It reports false
// where the other holder abstains.
func (r *Recovery) Page(from contract.HostID, p *contract.RecordPage) bool {
	if !p.Serving {
		delete(r.copies, from)
		return false
	}
	if r.copies[from] == nil {
		r.copies[from] = &holderCopy{}
	}
	c := r.copies[from]
	c.records = append(c.records, p.Records...)
	c.buckets++
	return true
}

// Finish makes the holder serve, and reports whether enough was copied.
func (r *Recovery) Finish(h *Holder, now time.Time) bool {
	whole := 0
	for _, c := range r.copies {
		if c.buckets == Buckets {
			whole++
		}
	}
	if whole < r.need {
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
