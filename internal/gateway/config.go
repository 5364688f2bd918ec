// Package gateway joins the duties of an instance on the operators' platform: it takes requests, follows the store, and
// is or follows the coordinator. It knows nothing of the platform's names.
package gateway

import (
	"io"
	"net/http"
	"time"

	"cuminlift"
	"cuminlift/core/roster"
	"cuminlift/core/route"
	"cuminlift/io/upstream"
)

// Settings are what an instance is told at start.
type Settings struct {
	// Name is the instance's own and stays over restarts.
	Name string
	Zone string
	// FrontAddress is where callers connect, ReadyAddress where the platform asks for readiness, PeerAddress where the coordinator
	// connects, MetricsAddress where metrics are served; the last may be empty.
	FrontAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// MemoryBytes is the most that the process may use, 0 for no limit.
	MemoryBytes int64
	// CPUShare is the part of a core that the process may use, 0 where it is not known.
	CPUShare float64
	// MaxGrantDuration is the longest time for which a grant may last.
	MaxGrantDuration time.Duration
	// ShutdownTimeout is the time from the order to stop until the process is killed.
	ShutdownTimeout time.Duration
	// RetryShare, RetryWindow and RetrySlack bound further attempts, over all instances.
	RetryShare  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// Registry reads the rows that operators and upstreams write.
type Registry interface {
	ConfigurationTable() string
	UpstreamTable() string
	// Configuration reports false for a row that holds something else.
	Configuration(row cuminlift.Row) (*route.Table, bool, error)
	// EvacuatedZone reports false for a row that takes no availability zone out.
	EvacuatedZone(row cuminlift.Row) (zone string, ok bool)
	Upstream(row cuminlift.Row) (roster.Upstream, error)
}

// Config constructs a Gateway.
type Config struct {
	Settings  Settings
	Store     cuminlift.RowStore
	Registry  Registry
	KeyClient cuminlift.KeyControl
	Clock     cuminlift.Clock
	Headers   upstream.Headers
	// KeyCount is the number of keys of a keyed service.
	KeyCount uint32
	// ReadyPath is where readiness is asked for.
	ReadyPath string
	// RetryAfterHeader returns the header that tells a caller when to come back.
	RetryAfterHeader func(time.Duration) (name, text string)
	// ParseLoad reads an upstream's report of its load.
	ParseLoad func(text string) []uint32
	// ProbeClient asks an upstream for its health.
	ProbeClient *http.Client
	// Log is where log lines go. It must not block.
	Log io.Writer
}
