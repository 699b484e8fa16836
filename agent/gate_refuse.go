package agent

import "github.com/carawaylanding/carawaylanding/contract"

// Refuse fences a start for a reason of the agent's own, unless the task was
// offered before.
func (g *Gate) Refuse(s *contract.Start, reason string) (Verdict, string) {
	if s.To != g.self {
		return VerdictRefuse, "the start is addressed to another incarnation"
	}
	t := g.task(s.Task)
	switch {
	case t == nil:
		t = g.put(s.Task, &gateTask{})
	case t.state != gateFenced:
		return VerdictKnown, ""
	case s.Attempt <= t.attempt:
		return VerdictRefuse, "the task is fenced"
	}
	t.attempt = s.Attempt
	g.end(s.Task, t, gateFenced)
	return VerdictRefuse, reason
}
