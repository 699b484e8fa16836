package workeragent

import "github.com/carawaylanding/carawaylanding/contract"

// A session may begin only once nothing is left of the calls that were made before it: no
// run, no lease that a run end was reported under, and no start call that the worker may
// still carry out. An earlier agent process is gone, and with it what it knew of its calls;
// leftovers holds what bounds them all the same.
//
// What an earlier process can have left, by what the worker shows:
//   - A worker that is newer than any earlier process got no call.
//   - A worker that runs on lists its runs; they end with their lease.
//   - An end that is listed counts unless the lease has expired since. An expired lease
//     ends the runs that are left, so the last end listed shows it; without such an end
//     the longest lease has to pass.
//   - A start call on its way, which lists nothing yet, is refused by the worker once its
//     deadline has passed, or once the worker has seen a higher fencing token.
//
// All times are on the worker's own clock, so its rate does not matter.
type leftovers struct {
	// newInstance says that no earlier agent process can have called the worker.
	newInstance bool
	// hadSession says that this process has had a session with the worker. It has then
	// resolved all its start calls, and waited for those of an earlier process.
	hadSession bool
	// fenced says that the worker has seen a fencing token that no call from before the
	// session can carry: no earlier agent process can have known it, and this one has had
	// no session yet.
	fenced bool
	// latestLeaseEndMS is the latest end of a lease that was asked for, in milliseconds.
	latestLeaseEndMS int64
}

// over reports whether a session may begin after the reply to a poll.
func (l leftovers) over(reply PollReply) bool {
	if len(reply.Running) > 0 {
		return false
	}
	if reply.ClockMS > l.latestLeaseEndMS+clockSlack.Milliseconds() {
		return true
	}
	noStartLeft := l.newInstance || l.hadSession || l.fenced
	if len(reply.Ended) == 0 {
		return noStartLeft
	}
	leaseExpired := reply.Ended[len(reply.Ended)-1].Kind == contract.EndLeaseExpired
	return leaseExpired && (l.hadSession || l.fenced)
}
