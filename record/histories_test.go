package record_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	// historySteps is the number of random steps of a simulated history.
	historySteps = 250
	// historySeeds is the number of seeded histories that must be free of
	// violations.
	historySeeds = 30_000
	// mistakeSeeds is the number of seeded histories within which each mistake
	// must cause a violation.
	mistakeSeeds = 100_000
	rapidSeed    = "4" // makes the histories of TestHistories reproducible
)

// seededChoice returns a function that returns pseudo-random choices below its
// argument, the same ones for the same seed.
func seededChoice(seed uint64) func(int) int {
	r := rand.New(rand.NewPCG(seed, 4))
	return r.IntN
}

// TestHistories checks that no random history of the simulation violates the
// protocol's guarantees. Rapid shrinks a history that does.
func TestHistories(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", rapidSeed))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		gen := rapid.IntRange(0, 1<<20)
		sim := runHistory(func(n int) int { return gen.Draw(rt, "choice") % n }, mistakes{}, historySteps)
		if sim.violation != "" {
			rt.Fatal(sim.violation)
		}
	})
}

// TestSeededHistories checks many more histories. It also checks that enough of
// them contain an answer of a complete job, so that the checks are not vacuous.
func TestSeededHistories(t *testing.T) {
	completeAnswers := 0
	for seed := range uint64(historySeeds) {
		sim := runHistory(seededChoice(seed), mistakes{}, historySteps)
		must.Eq(t, "", sim.violation, must.Sprintf("seed %d", seed))
		completeAnswers += sim.completeAnswers
	}
	t.Logf("%d histories of %d steps, %d complete answers", historySeeds, historySteps, completeAnswers)
	must.Greater(t, historySeeds/4, completeAnswers)
}

// TestMistakesAreFound checks that the histories can detect an incorrect protocol:
// each mistake must lead to a violation.
func TestMistakesAreFound(t *testing.T) {
	cases := map[string]mistakes{
		"duplicate starts run":            {gateOff: true},
		"no abstention":                   {abstentionOff: true},
		"fences forgotten":                {fencesForgotten: true},
		"start before the quorum":         {startBeforeQuorum: true},
		"epochs ignored":                  {epochsIgnored: true},
		"start to any incarnation":        {anyIncarnation: true},
		"votes of an earlier incarnation": {staleVotes: true},
		"plan forgotten":                  {planForgotten: true},
		"answer without a seal":           {sealSkipped: true},
		"reports of earlier attempts":     {staleReportsAccepted: true},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mistakeSeeds) {
				if sim := runHistory(seededChoice(seed), m, historySteps); sim.violation != "" {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Fatalf("%d histories found no violation", mistakeSeeds)
		})
	}
}
