package page

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/burn"
	"github.com/carawaylanding/carawaylanding/contract"
)

func TestPageIsSelfContained(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	tr := burn.New(burn.Config{})
	for i := range 120 {
		lag := time.Duration(i) * time.Millisecond
		s := contract.AnswerSample{Route: "<cards>", Total: lag, Outcome: contract.OutcomeRan}
		tr.Add(now.Add(time.Duration(i-120)*time.Second), s, 100*time.Millisecond)
	}
	var out bytes.Buffer
	must.NoError(t, Write(&out, burn.Evaluate(tr.Counts(now), burn.DefaultTargets())))
	html := out.String()
	must.Eq(t, 2, strings.Count(html, "<svg"))
	must.StrContains(t, html, "&lt;cards&gt;")
	must.StrContains(t, html, "19 of 120")
	must.StrContains(t, html, "page</td>")
	for _, external := range []string{"<script", "<link", "src=", "@import", "<?xml"} {
		must.StrNotContains(t, html, external)
	}
}

func TestPageWithoutAnswers(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, Write(&out, burn.Report{}))
	must.StrContains(t, out.String(), "No answer was counted")
}
