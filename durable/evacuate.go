package durable

import "slices"

// EvacuationOrder is an operator's order to begin the evacuation of a failure domain
// or, if Begin is not set, to end it.
type EvacuationOrder struct {
	Domain string
	Begin  bool
}

// applyEvacuation carries out an order. An order that is already in effect changes
// nothing.
func (s *State) applyEvacuation(o EvacuationOrder, c *Changes) {
	i, evacuated := slices.BinarySearch(s.Evacuated, o.Domain)
	if evacuated == o.Begin {
		return
	}
	// The list may be in use elsewhere, so it is replaced rather than changed.
	if o.Begin {
		s.Evacuated = slices.Insert(slices.Clone(s.Evacuated), i, o.Domain)
	} else {
		s.Evacuated = slices.Delete(slices.Clone(s.Evacuated), i, i+1)
	}
	c.Evacuations = append(c.Evacuations, o)
}
