package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	// Number counts the arrivals from zero.
	Number int
	// At is when it is due, from the run's start.
	At     time.Duration
	Single bool
	Team   string
	// Work is each task's time; a single request has one.
	Work []time.Duration
	// LeaveAfter is when the caller leaves, from At; zero means it stays.
	LeaveAfter time.Duration
}

// Ideal is the response time that the work itself requires.
func (a Arrival) Ideal() time.Duration {
	var longest time.Duration
	for _, w := range a.Work {
		longest = max(longest, w)
	}
	return longest
}

// Token names one task of the arrival; its upstream echoes it.
func (a Arrival) Token(seed uint64, task int) string {
	return fmt.Sprintf("%x-%d-%d", seed, a.Number, task)
}

// Plan yields the arrivals of a mix. The same mix yields the same arrivals.
type Plan struct {
	mix  Mix
	rng  *rand.Rand
	now  time.Duration
	next int
}

// NewPlan returns the plan of a valid mix.
func NewPlan(m Mix) *Plan {
	return &Plan{mix: m, rng: rand.New(rand.NewPCG(m.Seed, m.Seed))}
}

// Next returns the next arrival; false ends the run.
func (p *Plan) Next() (Arrival, bool) {
	p.advance()
	if p.next >= p.mix.MaxArrivals || p.now > p.mix.Duration {
		return Arrival{}, false
	}
	a := Arrival{Number: p.next, At: p.now, Single: p.rng.Float64() < p.mix.SingleShare}
	p.next++
	a.Team = p.mix.Teams[p.rng.IntN(len(p.mix.Teams))]
	tasks := 1
	if !a.Single {
		tasks = p.size()
	}
	for range tasks {
		a.Work = append(a.Work, p.work())
	}
	if p.rng.Float64() < p.mix.CancelShare {
		a.LeaveAfter = time.Duration(p.rng.Float64() * float64(a.Ideal()))
	}
	return a, true
}

// advance moves now to the next arrival: candidates come at the highest rate,
// and each is taken with the share of it that holds at its time.
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

// rate returns the arrivals a second at a time; it is highest at zero.
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

// size draws a job's size: its logarithm is uniform.
func (p *Plan) size() int {
	low, high := math.Log(float64(p.mix.MinTasks)), math.Log(float64(p.mix.MaxTasks+1))
	n := int(math.Exp(low + p.rng.Float64()*(high-low)))
	return min(max(n, p.mix.MinTasks), p.mix.MaxTasks)
}

func (p *Plan) work() time.Duration {
	c := p.component()
	d := time.Duration(float64(c.Median) * math.Exp(c.Sigma*p.rng.NormFloat64()))
	return min(max(d, minWork), maxWork).Round(time.Millisecond)
}

func (p *Plan) component() Component {
	var total float64
	for _, c := range p.mix.Work {
		total += c.Share
	}
	at := p.rng.Float64() * total
	for _, c := range p.mix.Work {
		if at < c.Share {
			return c
		}
		at -= c.Share
	}
	return p.mix.Work[len(p.mix.Work)-1]
}
