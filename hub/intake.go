package hub

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// intake limits the bytes of the submissions that wait for the event loop. The event loop
// never waits for it.
type intake struct {
	limit int64
	sem   *semaphore.Weighted
}

func newIntake(limit int64) *intake {
	return &intake{limit: limit, sem: semaphore.NewWeighted(limit)}
}

// enter waits until there is room for a submission, and returns the function that ends its
// wait. It fails when ctx is done. A submission larger than the limit waits until no other
// does.
func (i *intake) enter(ctx context.Context, bytes int64) (func(), error) {
	n := min(bytes, i.limit)
	if err := i.sem.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return func() { i.sem.Release(n) }, nil
}
