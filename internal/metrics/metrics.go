// Package metrics counts with expvar. Every name is listed with its unit in docs/METRICS.md.
package metrics

import (
	"expvar"
	"sync"
)

// Name is the name of one metric.
type Name string

// The metrics. Each counts events since the start of the process unless its comment says otherwise.
const (
	// Requests counts callers' requests.
	Requests Name = "requests"
	// Forwarded counts requests passed on to another instance.
	Forwarded Name = "forwarded"
	// Dispatched counts attempts at upstreams.
	Dispatched Name = "dispatched"
	// Hedged counts second copies of idempotent requests.
	Hedged Name = "hedged"
	// Retried counts attempts after the first.
	Retried Name = "retried"
	// RefusedNotRun counts refusals of requests that surely did not run.
	RefusedNotRun Name = "refused-not-run"
	// RefusedUnknown counts final answers that leave open whether the request ran.
	RefusedUnknown Name = "refused-unknown"
	// TruncatedResponses counts answers that were cut off because the upstream's body ended early.
	TruncatedResponses Name = "cut-answers"
	// MismatchedResponses counts answers that belonged to another request.
	MismatchedResponses Name = "crossed-answers"
	// HeartbeatsSent counts heartbeats, and HeartbeatBytes their bytes.
	HeartbeatsSent Name = "heartbeats-sent"
	// HeartbeatBytes counts bytes.
	HeartbeatBytes Name = "heartbeat-bytes"
	// HeartbeatsMalformed counts heartbeats that could not be read.
	HeartbeatsMalformed Name = "heartbeats-malformed"
	// GrantsSent counts grants to upstreams.
	GrantsSent Name = "grants-sent"
	// TableReads counts reads of the platform's table.
	TableReads Name = "table-reads"
	// TableWrites counts transactions.
	TableWrites Name = "table-writes"
	// TableFailures counts reads and transactions without an answer.
	TableFailures Name = "table-failures"
	// ConfigurationVersion is the version in force.
	ConfigurationVersion Name = "configuration-version"
	// ClaimsReplayed counts repeated requests that got the recorded answer.
	ClaimsReplayed Name = "claims-replayed"
	// TraceLinesDropped counts trace lines that were dropped because the file was slow.
	TraceLinesDropped Name = "trace-lost"
	// ControlNanoseconds is the time spent in ownership decisions, in nanoseconds.
	ControlNanoseconds Name = "control-nanoseconds"
)

// Set is the metrics of one daemon.
type Set struct {
	values *expvar.Map
}

var publish sync.Mutex

// New returns metrics that are published with expvar under "cuminlift/NAME" once per name.
func New(instance string) *Set {
	s := &Set{
		values: new(expvar.Map).Init(),
	}
	publish.Lock()
	defer publish.Unlock()
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
