package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// Number is the index of the arrival in the run, from zero.
	Number int
	// ScheduledAt is the scheduled time, relative to the start of the run.
	ScheduledAt time.Duration
	Single      bool
	Team        string
	// Work is the run time of each task at the upstream. A single request has one task.
	Work []time.Duration
	// DisconnectAfter is the time from ScheduledAt after which the caller disconnects.
	// Zero means that it waits for the answer.
	DisconnectAfter time.Duration
}

// Ideal returns the response time that the work itself requires, which is that of the
// longest task.
func (a Arrival) Ideal() time.Duration {
	var longest time.Duration
	for _, w := range a.Work {
		longest = max(longest, w)
	}
	return longest
}

// EchoToken returns the unique string that the upstream must echo for the task.
func (a Arrival) EchoToken(seed uint64, task int) string {
	return fmt.Sprintf("%x-%d-%d", seed, a.Number, task)
}

// Plan generates the arrivals of a mix. Equal mixes generate equal arrivals. It is not
// safe for concurrent use.
type Plan struct {
	mix        Mix
	rng        *rand.Rand
	now        time.Duration
	nextNumber int
}

// NewPlan returns the plan of a mix, which must be valid.
func NewPlan(m Mix) *Plan {
	return &Plan{mix: m, rng: rand.New(rand.NewPCG(m.Seed, m.Seed))}
}

// Next returns the next arrival, or false at the end of the run.
func (p *Plan) Next() (Arrival, bool) {
	p.advance()
	if p.nextNumber >= p.mix.MaxArrivals || p.now > p.mix.Duration {
		return Arrival{}, false
	}
	a := Arrival{Number: p.nextNumber, ScheduledAt: p.now, Single: p.rng.Float64() < p.mix.SingleShare}
	p.nextNumber++
	a.Team = p.mix.Teams[p.rng.IntN(len(p.mix.Teams))]
	tasks := 1
	if !a.Single {
		tasks = p.drawJobSize()
	}
	for range tasks {
		a.Work = append(a.Work, p.drawWork())
	}
	if p.rng.Float64() < p.mix.CancelShare {
		a.DisconnectAfter = time.Duration(p.rng.Float64() * float64(a.Ideal()))
	}
	return a, true
}

// advance moves now to the time of the next arrival. It generates a Poisson process of
// varying rate by thinning: candidates arrive at the highest rate, and each is accepted
// with the probability of the rate at its time over the highest rate.
func (p *Plan) advance() {
	highest := p.rate(0)
	for {
		gap := p.rng.ExpFloat64() / highest
		p.now += time.Duration(gap * float64(time.Second))
		if p.rng.Float64()*highest < p.rate(p.now) {
			return
		}
	}
}

// rate returns the arrivals per second at the given time. It is highest at time zero.
func (p *Plan) rate(at time.Duration) float64 {
	m := p.mix
	if m.Arrivals == Poisson {
		return m.Rate
	}
	share := float64(m.BurstLength) / float64(m.BurstEvery)
	base := m.Rate / (1 - share + share*m.BurstFactor)
	if at%m.BurstEvery < m.BurstLength {
		return base * m.BurstFactor
	}
	return base
}

// drawJobSize draws the number of tasks of a job from a log-uniform distribution.
func (p *Plan) drawJobSize() int {
	low, high := math.Log(float64(p.mix.MinTasks)), math.Log(float64(p.mix.MaxTasks+1))
	n := int(math.Exp(low + p.rng.Float64()*(high-low)))
	return min(max(n, p.mix.MinTasks), p.mix.MaxTasks)
}

func (p *Plan) drawWork() time.Duration {
	c := p.drawComponent()
	d := time.Duration(float64(c.Median) * math.Exp(c.Sigma*p.rng.NormFloat64()))
	return min(max(d, minWork), maxWork).Round(time.Millisecond)
}

func (p *Plan) drawComponent() Component {
	var total float64
	for _, c := range p.mix.Work {
		total += c.Share
	}
	u := p.rng.Float64() * total
	for _, c := range p.mix.Work {
		if u < c.Share {
			return c
		}
		u -= c.Share
	}
	return p.mix.Work[len(p.mix.Work)-1]
}
