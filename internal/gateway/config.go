// Package gateway implements an instance on the operators' platform: it proxies requests, follows the store, and acts as
// the coordinator or as a client of it. Names and formats of the platform are left to package platform.
package gateway

import (
	"io"
	"net/http"
	"time"

	"cuminlift"
	"cuminlift/core/dispatch"
	"cuminlift/core/roster"
	"cuminlift/core/route"
	"cuminlift/io/upstream"
)

// Settings are the start-up settings of an instance.
type Settings struct {
	// Name identifies the instance and stays the same over restarts.
	Name string
	Zone string
	// FrontAddress serves callers, ReadyAddress the platform's readiness checks, PeerAddress connections of the
	// coordinator, and MetricsAddress metrics; MetricsAddress may be empty.
	FrontAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// RelayAddress serves requests that other instances can't send to upstreams themselves; it may be empty.
	RelayAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MemoryBytes is the memory limit of the process, 0 for none.
	MemoryBytes int64
	// CPUShare is the fraction of a core that the process may use, 0 if unknown.
	CPUShare float64
	// LinkMbps is the rate of the instance's network link, and MaxFDs the number of file descriptors that it may open, 0 if unknown.
	LinkMbps, MaxFDs uint32
	// MaxGrantDuration is the longest duration of a key grant.
	MaxGrantDuration time.Duration
	// ShutdownTimeout is the time from the stop signal until the process is killed.
	ShutdownTimeout time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound retries, summed over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ReadAhead serves requests that callers send on a connection before the first has been answered concurrently.
	ReadAhead bool
}

// Registry decodes the rows that operators and upstreams write.
type Registry interface {
	ConfigurationTable() string
	UpstreamTable() string
	// Configuration reports false for a row that is not a configuration.
	Configuration(row cuminlift.Row) (*route.Table, bool, error)
	// EvacuatedZone reports false for a row that does not evacuate an availability zone.
	EvacuatedZone(row cuminlift.Row) (zone string, ok bool)
	Upstream(row cuminlift.Row) (roster.Upstream, error)
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings  Settings
	Store     cuminlift.RowStore
	Registry  Registry
	KeyClient cuminlift.KeyControl
	Clock     cuminlift.Clock
	Headers   upstream.Headers
	// KeyCount is the number of keys of a keyed service.
	KeyCount uint32
	// ReadyPath is the URL path of the readiness check.
	ReadyPath string
	// RetryAfterHeader returns the header that tells a caller when to retry.
	RetryAfterHeader func(time.Duration) (name, text string)
	// ParseLoad parses an upstream's load report.
	ParseLoad func(text string) []uint32
	// ParseLeaving reports whether an upstream says that it leaves.
	ParseLeaving func(text string) bool
	// ParsePause parses the time for which an upstream wants no requests.
	ParsePause func(text string) time.Duration
	// ParseLimit parses the limit that an upstream names.
	ParseLimit func(text string) dispatch.Limit
	// DialUpstream opens connections for callers' requests, nil for the default.
	DialUpstream upstream.DialFunc
	// ProbeClient sends health checks to upstreams.
	ProbeClient *http.Client
	// Log receives log lines. Its Write must not block.
	Log io.Writer
}
