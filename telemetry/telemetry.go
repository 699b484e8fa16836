// Package telemetry defines the Prometheus metrics of durable jobs, and the handler
// that serves them at the metrics address.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are the histogram bounds in seconds, from one network hop to the
// longest job.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

var registry = prometheus.NewRegistry()

var factory = promauto.With(registry)

// Metrics of an entry.
var (
	// Answers counts answers to callers by HTTP status.
	Answers = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_answers_total", Help: "Answers to callers.",
	}, []string{"status"})
	// AnswerSeconds is the time from a submission to its answer.
	AnswerSeconds = factory.NewHistogram(prometheus.HistogramOpts{
		Name: "caraway_answer_seconds", Help: "Time from a submission to its answer.", Buckets: latencyBuckets,
	})
)

// Metrics of listeners.
var (
	// ClientsRefused counts requests that were refused and connections that were closed
	// before a handler ran, by listener and reason.
	ClientsRefused = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_clients_refused_total", Help: "Requests refused and connections closed before a handler ran, by listener and reason.",
	}, []string{"listener", "reason"})
	// ClientConnections is the number of open connections by listener.
	ClientConnections = factory.NewGaugeVec(prometheus.GaugeOpts{
		Name: "caraway_client_connections", Help: "Open connections of clients, by listener.",
	}, []string{"listener"})
	// ClientMemory is the memory that requests hold, in bytes, by listener.
	ClientMemory = factory.NewGaugeVec(prometheus.GaugeOpts{
		Name: "caraway_client_memory_bytes", Help: "Memory that connections and requests of clients hold, by listener.",
	}, []string{"listener"})
)

// Metrics of direct starts without a leader, at entries and agents.
var (
	// DirectOffers counts offers of agents that an entry received.
	DirectOffers = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_direct_offers_total", Help: "Offers of agents without a leader."})
	// DirectStarts counts direct starts, by the side that counted: entry or agent.
	DirectStarts = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_direct_starts_total", Help: "Runs started without a leader, by side.",
	}, []string{"side"})
	// DirectEnds counts ends of direct runs that an entry received, by kind.
	DirectEnds = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_direct_ends_total", Help: "Ends of runs started without a leader, by kind.",
	}, []string{"how"})
	// DirectJobs counts jobs that an entry handled without a leader, by answer.
	DirectJobs = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_direct_jobs_total", Help: "Jobs handled without a leader, by answer.",
	}, []string{"answer"})
	// DirectSessions counts direct sessions that an agent began.
	DirectSessions = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_direct_sessions_total", Help: "Direct sessions begun."})
)

// Metrics of a control host.
var (
	// IsLeader is 1 while this host is the leader, and 0 otherwise.
	IsLeader = factory.NewGauge(prometheus.GaugeOpts{Name: "caraway_leads", Help: "1 while this control host leads."})
	// Term is the current term of the replicated log.
	Term = factory.NewGauge(prometheus.GaugeOpts{Name: "caraway_term", Help: "Term of the replicated log."})
	// EvacuatedDomains is the number of evacuated failure domains, as far as this host
	// has applied the replicated log.
	EvacuatedDomains = factory.NewGauge(prometheus.GaugeOpts{Name: "caraway_evacuated_domains", Help: "Evacuated failure domains."})
	// JobsRefused counts refused jobs by reason.
	JobsRefused = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_jobs_refused_total", Help: "Jobs refused, by reason.",
	}, []string{"reason"})
	// JobsAdmittedLate counts jobs that were admitted although they miss their objective.
	JobsAdmittedLate = factory.NewCounter(prometheus.CounterOpts{
		Name: "caraway_jobs_admitted_late_total", Help: "Jobs admitted for a late result.",
	})
	// JobsShed counts transient jobs that were refused after their admission.
	JobsShed = factory.NewCounter(prometheus.CounterOpts{
		Name: "caraway_jobs_shed_total", Help: "Transient jobs refused after their admission.",
	})
	// JobsEnded counts jobs that ended, by their final state.
	JobsEnded = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_jobs_ended_total", Help: "Jobs that ended, by state.",
	}, []string{"state"})
	// JobsSettled counts the transient jobs that an earlier leader may have started, by
	// what became of them when all agents had reported.
	JobsSettled = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_jobs_settled_total", Help: "Jobs of an earlier leader, by how they were settled.",
	}, []string{"how"})
	// JobsGivenUp counts jobs that failed since a task of them crashes workers.
	JobsGivenUp = factory.NewCounter(prometheus.CounterOpts{
		Name: "caraway_jobs_given_up_total", Help: "Jobs that failed since a task of them crashes workers.",
	})
	// CrashedRuns counts runs that were on a worker when it crashed, as the leader
	// learned of them, by how many workers have crashed under their task: 1, 2, or
	// more.
	CrashedRuns = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_crashed_runs_total", Help: "Runs on workers that crashed, by the number of crashes under their task.",
	}, []string{"crashes"})
	// JobSeconds is the time from a job's acceptance to its end.
	JobSeconds = factory.NewHistogram(prometheus.HistogramOpts{
		Name: "caraway_job_seconds", Help: "Time from a job's acceptance to its end.", Buckets: latencyBuckets,
	})
	// RunsPlaced counts orders to start a run that were queued for agents.
	RunsPlaced = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_runs_placed_total", Help: "Orders to start a run."})
	// RunsStopped counts orders to stop a run that were queued for agents.
	RunsStopped = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_runs_stopped_total", Help: "Orders to stop a run."})
	// RelayLinks counts the links that this process was asked to relay to control
	// hosts, by result.
	RelayLinks = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_relay_links_total", Help: "Links to relay, by result.",
	}, []string{"result"})
	// RelayBytes counts the bytes of relayed links.
	RelayBytes = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_relay_bytes_total", Help: "Bytes relayed to and from control hosts."})
	// SyncSeconds is the duration of one sync of the log to disk.
	SyncSeconds = factory.NewHistogram(prometheus.HistogramOpts{
		Name: "caraway_log_sync_seconds", Help: "Time of one sync of the log.", Buckets: latencyBuckets,
	})
)

// Metrics of an agent.
var (
	// RunsEnded counts runs that ended at the worker, by how they ended.
	RunsEnded = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_runs_ended_total", Help: "Runs that ended at the worker.",
	}, []string{"how"})
	// EntriesIgnored counts entries that other writers left and that can't be used, by kind.
	EntriesIgnored = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_entries_ignored_total", Help: "Entries of other writers that were ignored.",
	}, []string{"kind"})
	// StartsRefused counts starts that the worker refused, by reason.
	StartsRefused = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "caraway_starts_refused_by_worker_total", Help: "Starts that the worker refused.",
	}, []string{"reason"})
	// StartsUnanswered counts starts that the worker did not answer.
	StartsUnanswered = factory.NewCounter(prometheus.CounterOpts{
		Name: "caraway_starts_unanswered_total", Help: "Starts without an answer from the worker.",
	})
	// WorkerCrashes counts instances of the worker that ended without notice.
	WorkerCrashes = factory.NewCounter(prometheus.CounterOpts{
		Name: "caraway_worker_crashes_total", Help: "Crashes of the worker.",
	})
	// Sessions counts sessions that began. More than one per worker instance means
	// that its lease expired.
	Sessions = factory.NewCounter(prometheus.CounterOpts{Name: "caraway_sessions_total", Help: "Sessions begun."})
)

// LogLinesDropped counts log lines that were dropped, rather than block the process
// on a slow output.
var LogLinesDropped = factory.NewCounter(prometheus.CounterOpts{
	Name: "caraway_log_lines_dropped_total", Help: "Log lines dropped since the output was too slow.",
})

// Handler returns a handler that serves all metrics in the Prometheus text format.
func Handler() http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
