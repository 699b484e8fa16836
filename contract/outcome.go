package contract

import "fmt"

// Outcome tells whether work ran.
type Outcome uint8

// The outcomes of a task, a request or a job.
const (
	// OutcomeUnknown means that the work may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the work never ran and never will.
	OutcomeNotRun
	// OutcomeRan means that the work ran once.
	OutcomeRan
	// OutcomePartlyRan means that some tasks of a job ran and others did not.
	OutcomePartlyRan
)

var outcomeNames = [...]string{"unknown", "not-run", "ran", "partly-ran"}

// String returns the name used in the Caraway-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(b []byte) error {
	for i, name := range outcomeNames {
		if name == string(b) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("outcome %q: want one of %v", b, outcomeNames)
}

// CombineOutcomes returns the outcome of a job whose tasks have the given outcomes.
// An unknown task makes the job unknown; a mix of ran and not-run is partly-ran; a
// job without tasks did not run.
func CombineOutcomes(tasks []Outcome) Outcome {
	var ran, notRun int
	for _, o := range tasks {
		switch o {
		case OutcomeUnknown:
			return OutcomeUnknown
		case OutcomeNotRun:
			notRun++
		default:
			ran++
		}
	}
	switch {
	case ran == 0:
		return OutcomeNotRun
	case notRun == 0:
		return OutcomeRan
	}
	return OutcomePartlyRan
}
