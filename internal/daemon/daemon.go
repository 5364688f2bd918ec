// Package daemon implements one entry instance: it serves callers, peers and operators, and executes the decisions of
// the core packages.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminlift"
	"cuminlift/core/ownership"
	"cuminlift/core/route"
	"cuminlift/internal/logs"
	"cuminlift/internal/metrics"
	"cuminlift/io/clock"
	"cuminlift/io/identity"
	"cuminlift/io/instance"
	"cuminlift/io/platform"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// Config configures a Daemon.
type Config struct {
	Settings *schema.Settings
	// Timing defaults to ownership.DefaultTiming if its HeartbeatInterval is 0.
	Timing ownership.Timing
	// LogOutput receives the log; nil selects standard error.
	LogOutput io.Writer
	// Trace receives the trace; nil selects the trace file of the settings.
	Trace io.Writer
	// Allow reports whether connections to a peer or upstream address are permitted. Tests use it to simulate network
	// partitions; nil permits all.
	Allow func(address string) bool
}

// Daemon is one entry instance.
type Daemon struct {
	config          Config
	settings        *schema.Settings
	self            *schema.Member
	logs            *logs.Set
	metrics         *metrics.Set
	clock           cuminlift.Clock
	stateTable      cuminlift.Table
	objects         cuminlift.ObjectStore
	instanceList    cuminlift.InstanceList
	upstreamControl cuminlift.UpstreamControl
	peerLink        *instance.PeerTransport
	identity        *identity.Source
	events          chan serviceEvent
	members         *members
	current         atomic.Pointer[activeConfiguration]
	applyMutex      sync.Mutex
	// splitterMutex guards splitter, which distributes the requests of routes that split traffic.
	splitterMutex sync.Mutex
	splitter      *route.Splitter
	tableReader   *tableReader
	claimWriter   *claimWriter
	trace         *tracer
	audit         *auditor
	peerTransport *http.Transport
	upstream      *http.Transport
	// upstreamOnce sends each request on a connection of its own.
	upstreamOnce   *http.Transport
	sequence       atomic.Uint64
	stopping       atomic.Bool
	activeRequests atomic.Int64
	classLimiter   *classLimiter
	// echoingIncarnations maps the name of an upstream to its last incarnation that returned the request ID in a
	// response.
	echoingIncarnations sync.Map
	callers             net.Listener
	forward             net.Listener
	operators           net.Listener
	servers             []*http.Server
}

// eventQueueSize bounds the events that wait for the control loop.
const eventQueueSize = 4096

// New opens all listeners and returns a daemon that is ready to run.
func New(config Config) (*Daemon, error) {
	if config.Timing.HeartbeatInterval == 0 {
		config.Timing = ownership.DefaultTiming()
	}
	if err := CheckSettings(config.Settings); err != nil {
		return nil, err
	}
	s := config.Settings
	loggers, err := logs.New(s.GetLog(), s.GetInstance(), config.LogOutput)
	if err != nil {
		return nil, err
	}
	source, err := identity.Load(s.GetTls())
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		config:          config,
		settings:        s,
		logs:            loggers,
		metrics:         metrics.New(s.GetInstance()),
		clock:           clock.NewBootClock(),
		identity:        source,
		events:          make(chan serviceEvent, eventQueueSize),
		upstreamControl: upstream.NewControlClient(config.Timing.SuspectTimeout / 2),
		classLimiter:    newClassLimiter(),
		splitter:        route.NewSplitter(),
	}
	client := platform.NewClient(platform.Config{
		URL:      s.GetPlatform(),
		Instance: s.GetInstance(),
	})
	d.stateTable = client
	d.objects = client
	d.instanceList = client
	if err := d.openListeners(); err != nil {
		return nil, err
	}
	d.tableReader = newTableReader(d)
	d.claimWriter = newClaimWriter(d)
	d.audit = newAuditor(d)
	d.trace, err = newTracer(d)
	if err != nil {
		return nil, err
	}
	return d, nil
}

// openListeners opens the listeners. The member's addresses are taken from them, so that settings may use port 0.
func (d *Daemon) openListeners() error {
	var err error
	if d.callers, err = net.Listen("tcp", d.settings.GetCallers()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if d.forward, err = net.Listen("tcp", d.settings.GetForward()); err != nil {
		return fmt.Errorf("listen for requests from other instances: %w", err)
	}
	if d.operators, err = net.Listen("tcp", d.settings.GetOperators()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	resetKey, err := d.identity.ResetKey()
	if err != nil {
		return err
	}
	d.peerLink, err = instance.Listen(instance.Config{
		Address:     d.settings.GetPeers(),
		ResetKey:    resetKey,
		Server:      d.identity.Server(instance.Protocol),
		Client:      d.identity.Client(instance.Protocol),
		OnHeartbeat: d.receiveHeartbeat,
		OnMalformed: d.handleMalformedHeartbeat,
		Allow:       d.config.Allow,
		OnSent: func(bytes int) {
			d.metrics.Add(metrics.HeartbeatsSent, 1)
			d.metrics.Add(metrics.HeartbeatBytes, int64(bytes))
		},
	})
	if err != nil {
		return err
	}
	d.self = &schema.Member{
		Id:        d.settings.GetInstance() + "/" + newIncarnation(),
		Name:      d.settings.GetInstance(),
		Zone:      d.settings.GetZone(),
		Peers:     d.peerLink.Address(),
		Forward:   d.forward.Addr().String(),
		Operators: d.operators.Addr().String(),
	}
	d.members = newMembers(d.self)
	d.peerTransport = d.newPeerTransport()
	d.upstream, d.upstreamOnce = d.newUpstreamTransport(true), d.newUpstreamTransport(false)
	return nil
}

// newIncarnation returns a string that sorts after those of earlier runs on the same machine.
func newIncarnation() string {
	var random [4]byte
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%016x%s", time.Now().UnixNano(), hex.EncodeToString(random[:]))
}

func (d *Daemon) handleMalformedHeartbeat(err error) {
	d.metrics.Add(metrics.HeartbeatsMalformed, 1)
	d.logs.For("instance").WithError(err).Warn("dropped malformed heartbeat")
}

// Self returns the member record of this run of the instance.
func (d *Daemon) Self() *schema.Member { return d.self }

// Callers returns the address on which callers are served.
func (d *Daemon) Callers() string { return d.callers.Addr().String() }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// Run serves until ctx ends, then shuts down gracefully within the time limit of the settings. It returns after all its
// goroutines have ended.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.For("daemon").WithField("member", d.self.GetId()).WithField("callers", d.Callers()).Info("starting daemon")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return d.controlLoop(work) })
	group.Go(func() error { return d.tableReader.run(work) })
	group.Go(func() error { return d.livenessLoop(work) })
	group.Go(func() error { return d.instanceListLoop(work) })
	group.Go(func() error { return d.claimWriter.run(work) })
	group.Go(func() error { return d.audit.run(work) })
	group.Go(func() error { return d.trace.run(work) })
	d.startServers(group)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	d.shutdown()
	cancel()
	err := group.Wait()
	d.peerLink.Close()
	d.peerTransport.CloseIdleConnections()
	d.upstream.CloseIdleConnections()
	d.logs.For("daemon").Info("daemon stopped")
	return err
}

// Kill closes all connections at once, as a crash would. Run returns soon after its context ends.
func (d *Daemon) Kill() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peerLink.Close()
	d.stopping.Store(true)
}

const (
	defaultStopTimeout = 30 * time.Second
	defaultDrainTime   = time.Second
	// idleHeartbeats is the number of heartbeat periods for which an instance that shuts down keeps reporting that it
	// is idle.
	idleHeartbeats = 2
	// stopPollPeriod is the interval at which a graceful shutdown checks whether it is complete.
	stopPollPeriod = 10 * time.Millisecond
)

// shutdown stops gracefully: it hands over the homes of pools, stops accepting callers and finishes requests in
// progress, all within the time limit.
func (d *Daemon) shutdown() {
	timeout := time.Duration(d.settings.GetStopMs()) * time.Millisecond
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	if d.stopping.Swap(true) {
		return
	}
	d.logs.For("daemon").WithField("bound", timeout).Info("graceful shutdown started")
	d.trace.recordOutcome(&schema.Outcome{
		Kind:    "stop-begins",
		Subject: d.self.GetId(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.awaitHandover(ctx)
	group := new(errgroup.Group)
	for _, s := range d.servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		d.logs.For("daemon").WithError(err).Warn("shutdown timeout reached with requests in progress")
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// awaitHandover waits until this member is the home of no pool and has nothing in progress, or until ctx ends.
func (d *Daemon) awaitHandover(ctx context.Context) {
	for _, s := range d.services() {
		d.postEvent(s, &schema.OwnershipEvent{
			Kind: schema.EventKind_stopping,
		})
	}
	ticker := time.NewTicker(stopPollPeriod)
	defer ticker.Stop()
	start := time.Now()
	var handedOverAt time.Time
	for {
		if handoverComplete := d.handoverComplete(); handoverComplete && handedOverAt.IsZero() {
			handedOverAt = time.Now()
		} else if !handoverComplete {
			handedOverAt = time.Time{}
		}
		// New homes wait for this instance to report that it is idle, so the report must be sent before the process
		// ends.
		announced := !handedOverAt.IsZero() && time.Since(handedOverAt) >= idleHeartbeats*d.config.Timing.HeartbeatInterval
		if announced && time.Since(start) >= d.drainTime() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drainTime returns how long callers are still served after the readiness check starts to fail.
func (d *Daemon) drainTime() time.Duration {
	if ms := d.settings.GetDrainMs(); ms != 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDrainTime
}

func (d *Daemon) handoverComplete() bool {
	for _, s := range d.services() {
		if !s.handoverComplete(d.self.GetId()) {
			return false
		}
	}
	return d.activeRequests.Load() == 0
}
