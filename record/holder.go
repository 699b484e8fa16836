package record

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Config bounds a holder.
type Config struct {
	// MaxRecords bounds the records that are kept at once.
	MaxRecords int
	// MaxTTL bounds how long a record is kept: a holder that restarted has
	// forgotten nothing that is older.
	MaxTTL time.Duration
}

// The defaults of Config.
const (
	DefaultMaxRecords = 200_000
	// DefaultRetention is how long a key is honoured after its job's deadline.
	DefaultRetention = 10 * time.Minute
	DefaultMaxTTL    = DefaultRetention + contract.MaxDeadline
)

func (c Config) withDefaults() Config {
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
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
	records map[contract.JobID]*held
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
	return &Holder{
		cfg:     cfg,
		serving: fresh,
		until:   now.Add(cfg.MaxTTL),
		records: make(map[contract.JobID]*held),
	}
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
func (h *Holder) Len() int { return len(h.records) }

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
	r.plan.add(m.Plan)
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
	return &contract.RecordReply{Verdict: contract.RecordGranted, Promised: m.Epoch, Plan: slices.Clone(r.plan.list)}
}

// open returns the job's record, new where there is none, or the refusal.
func (h *Holder) open(now time.Time, job contract.JobID, digest string, e contract.RecordEpoch) (*held, *contract.RecordReply) {
	if !h.Serving(now) {
		return nil, &contract.RecordReply{Verdict: contract.RecordAbstains}
	}
	r, ok := h.records[job]
	if ok && now.Before(r.expires) {
		if r.digest != digest {
			return nil, &contract.RecordReply{Verdict: contract.RecordConflict, Promised: r.epoch}
		}
		return r, nil
	}
	if !ok && len(h.records) >= h.cfg.MaxRecords {
		h.Sweep(now)
		if len(h.records) >= h.cfg.MaxRecords {
			return nil, &contract.RecordReply{Verdict: contract.RecordFull}
		}
	}
	r = &held{digest: digest, epoch: e}
	h.records[job] = r
	return r, nil
}

func (h *Holder) keep(r *held, now time.Time, e contract.RecordEpoch, ttl time.Duration) {
	r.epoch = e
	if end := now.Add(min(ttl, h.cfg.MaxTTL)); end.After(r.expires) {
		r.expires = end
	}
}

// Sweep drops the records that have expired.
func (h *Holder) Sweep(now time.Time) {
	for id, r := range h.records {
		if !now.Before(r.expires) {
			delete(h.records, id)
		}
	}
}

// pageRecords is the number of records in one page of a copy.
const pageRecords = 500

// Page answers a holder that copies the records.
func (h *Holder) Page(now time.Time, m *contract.RecordCopy) *contract.RecordPage {
	if !h.Serving(now) {
		return &contract.RecordPage{}
	}
	var ids []contract.JobID
	for id, r := range h.records {
		if id > m.After && now.Before(r.expires) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	p := &contract.RecordPage{Serving: true, More: len(ids) > pageRecords}
	for _, id := range ids[:min(len(ids), pageRecords)] {
		r := h.records[id]
		p.Records = append(p.Records, contract.JobRecord{
			Job: id, Digest: r.digest, Epoch: r.epoch, Plan: slices.Clone(r.plan.list), TTL: r.expires.Sub(now),
		})
	}
	return p
}

// tornDigest marks a record that two holders keep for different bodies: no
// body matches it.
const tornDigest = ""

// merge takes a copied record.
func (h *Holder) merge(now time.Time, c contract.JobRecord) {
	r, ok := h.records[c.Job]
	if !ok {
		r = &held{digest: c.Digest}
		h.records[c.Job] = r
	}
	if r.digest != c.Digest {
		r.digest = tornDigest
	}
	r.epoch = mergeEpochs(r.epoch, c.Epoch)
	h.keep(r, now, r.epoch, c.TTL)
	r.plan.add(c.Plan)
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
	copies map[contract.HostID][]contract.JobRecord
	done   map[contract.HostID]bool
}

// NewRecovery returns a recovery among n holders, the restarted one included.
// A majority must be copied that does not count the restarted holder: each
// quorum that it was part of then leaves a member among those copied.
func NewRecovery(n int) *Recovery {
	return &Recovery{
		need:   Majority(n),
		copies: make(map[contract.HostID][]contract.JobRecord),
		done:   make(map[contract.HostID]bool),
	}
}

// Page takes a page from another holder. It returns the request for the next
// page, or nil.
func (r *Recovery) Page(from contract.HostID, p *contract.RecordPage) *contract.RecordCopy {
	if !p.Serving || r.done[from] {
		return nil
	}
	r.copies[from] = append(r.copies[from], p.Records...)
	if p.More {
		return &contract.RecordCopy{After: p.Records[len(p.Records)-1].Job}
	}
	r.done[from] = true
	return nil
}

// Finish makes the holder serve, and reports whether enough was copied.
func (r *Recovery) Finish(h *Holder, now time.Time) bool {
	if len(r.done) < r.need {
		return false
	}
	for from := range r.done {
		for _, c := range r.copies[from] {
			h.merge(now, c)
		}
	}
	h.serving = true
	return true
}
