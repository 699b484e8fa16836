package record_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	historySteps = 250
	// historySeeds is the number of seeded histories that must hold.
	historySeeds = 30_000
	// mistakeSeeds is the number of seeded histories in which each mistake
	// must show.
	mistakeSeeds = 100_000
	rapidSeed    = "4"
)

func seeded(seed uint64) func(int) int {
	r := rand.New(rand.NewPCG(seed, 4))
	return r.IntN
}

func TestHistories(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", rapidSeed))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		gen := rapid.IntRange(0, 1<<20)
		w := play(func(n int) int { return gen.Draw(rt, "choice") % n }, mistakes{}, historySteps)
		if w.fault != "" {
			rt.Fatal(w.fault)
		}
	})
}

func TestSeededHistories(t *testing.T) {
	whole := 0
	for seed := range uint64(historySeeds) {
		w := play(seeded(seed), mistakes{}, historySteps)
		must.Eq(t, "", w.fault, must.Sprintf("seed %d", seed))
		whole += w.whole
	}
	t.Logf("%d histories of %d steps, %d whole answers", historySeeds, historySteps, whole)
	must.Greater(t, historySeeds/4, whole)
}

func TestMistakesAreFound(t *testing.T) {
	cases := map[string]mistakes{
		"gate off":                 {gateOff: true},
		"abstention off":           {abstentionOff: true},
		"fence ignored":            {fenceIgnored: true},
		"start before the quorum":  {startFirst: true},
		"epochs ignored":           {epochsIgnored: true},
		"start to any incarnation": {anyIncarnation: true},
		"votes of an earlier life": {lateVotes: true},
		"plan forgotten":           {planForgotten: true},
		"answer without a seal":    {sealOff: true},
		"reports of old attempts":  {oldReports: true},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mistakeSeeds) {
				if w := play(seeded(seed), m, historySteps); w.fault != "" {
					t.Logf("seed %d: %s", seed, w.fault)
					return
				}
			}
			t.Fatalf("%d histories did not show the mistake", mistakeSeeds)
		})
	}
}
