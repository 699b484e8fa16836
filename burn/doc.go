// Package burn counts answers against the service-level objectives of each route
// and computes the burn rates of their error budgets over several windows, as in
// chapter 5 of the Site Reliability Workbook. It does no I/O and reads no clock:
// callers pass the current time.
package burn

import "time"

// Indicator is a service-level indicator: the property of answers that an
// objective applies to.
type Indicator string

// The service-level indicators.
const (
	// Lag counts complete answers. An answer is bad if the time it took beyond the
	// work itself exceeds the route's objective.
	Lag Indicator = "lag"
	// Complete counts answers, except errors that the caller or its quota caused. An
	// answer is bad if it is not complete.
	Complete Indicator = "whole"
	// OutcomeKnown counts all answers to work that its caller did not cancel. An answer
	// is bad if its outcome is unknown.
	OutcomeKnown Indicator = "truthful"
)

// Indicators lists all indicators in the order used in reports.
var Indicators = [indicatorCount]Indicator{Lag, Complete, OutcomeKnown}

const indicatorCount = 3

// Targets holds the target share of good events for each indicator, from 0 to 1.
type Targets map[Indicator]float64

// DefaultTargets returns the targets that apply if none are configured.
func DefaultTargets() Targets {
	return Targets{Lag: 0.99, Complete: 0.999, OutcomeKnown: 0.9999}
}

// Rule raises an alert if the burn rate is at least Rate over both windows. The
// short window clears the alert soon after the burn rate falls.
type Rule struct {
	Short    time.Duration
	Long     time.Duration
	Rate     float64
	Severity Severity
}

// Severity is the urgency of an alert.
type Severity string

// The alert severities.
const (
	// Page requires an immediate response.
	Page Severity = "page"
	// Ticket requires a response within a day.
	Ticket Severity = "ticket"
)

// Rules are the workbook's alerting rules for an error budget of 30 days, most
// urgent first.
var Rules = []Rule{
	{Short: 5 * time.Minute, Long: time.Hour, Rate: 14.4, Severity: Page},
	{Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 6, Severity: Page},
	{Short: 2 * time.Hour, Long: 24 * time.Hour, Rate: 3, Severity: Ticket},
	{Short: 6 * time.Hour, Long: 72 * time.Hour, Rate: 1, Severity: Ticket},
}

// Windows lists the windows of all rules, shortest first.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour,
	6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}
