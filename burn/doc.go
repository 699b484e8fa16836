// Package burn keeps service-level objectives for each route and tells how
// fast their error budgets burn, over several windows at once as in chapter 5
// of the Site Reliability Workbook. It is pure: the time is passed in.
package burn

import "time"

// Indicator is what an objective is about.
type Indicator string

// The indicators.
const (
	// Lag counts whole answers; those that came later behind their work than
	// the route's objective are bad.
	Lag Indicator = "lag"
	// Whole counts answers to requests that the caller made rightly; those
	// that are no whole answer are bad.
	Whole Indicator = "whole"
	// Truthful counts all answers to work that its caller did not cancel; those
	// whose outcome is unknown are bad.
	Truthful Indicator = "truthful"
)

// Indicators are all indicators, in the order of the reports.
var Indicators = [indicatorCount]Indicator{Lag, Whole, Truthful}

const indicatorCount = 3

// Targets is the share of good events that each indicator aims at.
type Targets map[Indicator]float64

// DefaultTargets returns the targets that apply where none are set.
func DefaultTargets() Targets {
	return Targets{Lag: 0.99, Whole: 0.999, Truthful: 0.9999}
}

// Rule alerts when the budget burns at least at Rate over both windows. The
// short window ends the alert soon after the burning does.
type Rule struct {
	Short    time.Duration
	Long     time.Duration
	Rate     float64
	Severity Severity
}

// Severity says how soon somebody must act.
type Severity string

// The severities.
const (
	// Page needs somebody at once.
	Page Severity = "page"
	// Ticket needs somebody within the day.
	Ticket Severity = "ticket"
)

// Rules are the workbook's rules for a budget of 30 days.
var Rules = []Rule{
	{Short: 5 * time.Minute, Long: time.Hour, Rate: 14.4, Severity: Page},
	{Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 6, Severity: Page},
	{Short: 2 * time.Hour, Long: 24 * time.Hour, Rate: 3, Severity: Ticket},
	{Short: 6 * time.Hour, Long: 72 * time.Hour, Rate: 1, Severity: Ticket},
}

// Windows are the windows of the rules, shortest first.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour,
	6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}
