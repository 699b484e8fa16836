package contract

// Approximate memory of a durable job where it is kept and scheduled, in bytes.
const (
	jobBytes  = 512
	stepBytes = 384
	taskBytes = 16
	// EndedJobBytes is that of a job that has ended.
	EndedJobBytes = 128
)

// Footprint returns the approximate memory of the job where it is kept and scheduled, in
// bytes.
func (j *DurableJob) Footprint() int64 {
	return jobBytes + int64(len(j.ID)+len(j.Queue)+len(j.Pool)+len(j.Spec)) + stepsFootprint(j.Steps)
}

// Footprint returns the approximate memory of the job once it is accepted, in bytes.
func (m *JobSubmit) Footprint() int64 {
	return jobBytes + int64(len(m.Host)+len(m.Path)+len(m.Spec)) + stepsFootprint(m.Steps)
}

func stepsFootprint(steps []DurableStep) int64 {
	n := 0
	for i := range steps {
		s := &steps[i]
		n += stepBytes + taskBytes*s.Count + 8*len(s.After) + len(s.Label) + len(s.Rack)
	}
	return int64(n)
}
