// Package metrics counts events with expvar. All names and units are listed in docs/METRICS.md.
package metrics

import (
	"expvar"
	"sync"
)

// Name is the published name of a metric.
type Name string

// Metrics of the daemon. Each counts events since process start unless its comment says otherwise.
const (
	// Requests counts callers' requests.
	Requests Name = "requests"
	// Forwarded counts requests forwarded to another instance.
	Forwarded Name = "forwarded"
	// Dispatched counts attempts sent to upstreams.
	Dispatched Name = "dispatched"
	// Hedged counts hedged attempts of idempotent requests.
	Hedged Name = "hedged"
	// Retried counts attempts after the first.
	Retried Name = "retried"
	// RefusedNotRun counts refusals of requests that are known not to have run.
	RefusedNotRun Name = "refused-not-run"
	// RefusedUnknown counts final responses that leave open whether the request ran.
	RefusedUnknown Name = "refused-unknown"
	// TruncatedResponses counts responses that were aborted because the upstream's body ended early.
	TruncatedResponses Name = "cut-answers"
	// MismatchedResponses counts responses that belonged to another request.
	MismatchedResponses Name = "crossed-answers"
	// HeartbeatsSent counts heartbeats sent to other instances.
	HeartbeatsSent Name = "heartbeats-sent"
	// HeartbeatBytes counts the bytes of heartbeats sent.
	HeartbeatBytes Name = "heartbeat-bytes"
	// HeartbeatsMalformed counts heartbeats that could not be decoded.
	HeartbeatsMalformed Name = "heartbeats-malformed"
	// GrantsSent counts grants sent to upstreams.
	GrantsSent Name = "grants-sent"
	// TableReads counts reads of the platform's table.
	TableReads Name = "table-reads"
	// TableWrites counts transactions on the platform's table.
	TableWrites Name = "table-writes"
	// TableFailures counts reads and transactions that got no reply.
	TableFailures Name = "table-failures"
	// ConfigurationVersion is the configuration version in force.
	ConfigurationVersion Name = "configuration-version"
	// ClaimsReplayed counts repeated requests that got the recorded response.
	ClaimsReplayed Name = "claims-replayed"
	// TraceLinesDropped counts trace lines dropped because the file was too slow.
	TraceLinesDropped Name = "trace-lost"
	// ControlNanoseconds is the time spent on ownership decisions, in nanoseconds.
	ControlNanoseconds Name = "control-nanoseconds"
)

// Set holds the metrics of one daemon.
type Set struct {
	values *expvar.Map
}

var publishMutex sync.Mutex

// New returns the metrics of an instance. It publishes them with expvar as "cuminlift/INSTANCE", once per instance name.
func New(instance string) *Set {
	s := &Set{
		values: new(expvar.Map).Init(),
	}
	publishMutex.Lock()
	defer publishMutex.Unlock()
	if expvar.Get("cuminlift/"+instance) == nil {
		expvar.Publish("cuminlift/"+instance, s.values)
	}
	return s
}

// Add adds n to the metric called name.
func (s *Set) Add(name Name, n int64) {
	s.values.Add(string(name), n)
}

// Set replaces the value of the metric called name.
func (s *Set) Set(name Name, n int64) {
	value := new(expvar.Int)
	value.Set(n)
	s.values.Set(string(name), value)
}

// Get returns the value of the metric called name.
func (s *Set) Get(name Name) int64 {
	value, ok := s.values.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// String returns all metrics as JSON.
func (s *Set) String() string {
	return s.values.String()
}

// Each calls f for each metric, sorted by name.
func (s *Set) Each(f func(name string, value int64)) {
	s.values.Do(func(kv expvar.KeyValue) {
		if value, ok := kv.Value.(*expvar.Int); ok {
			f(kv.Key, value.Value())
		}
	})
}
