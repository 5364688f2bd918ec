// Package daemon joins the decisions to the peers: it is one entry instance.
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

// Config constructs a Daemon.
type Config struct {
	Settings *schema.Settings
	// Timing is the default where its Heartbeat is 0.
	Timing ownership.Timing
	// LogOutput takes the log, nil for standard error.
	LogOutput io.Writer
	// Trace takes the trace, nil for the file that the settings name.
	Trace io.Writer
	// Allow decides which peers and upstreams are reachable, for tests of a cut; nil allows all.
	Allow func(address string) bool
}

// Daemon is one entry instance.
type Daemon struct {
	config   Config
	settings *schema.Settings
	self     *schema.Member
	logs     *logs.Set
	metrics  *metrics.Set
	clock    cuminlift.Clock
	table    cuminlift.Table
	objects  cuminlift.ObjectStore
	list     cuminlift.InstanceList
	control  cuminlift.UpstreamControl
	link     *instance.Link
	identity *identity.Source
	events   chan serviceEvent
	members  *members
	current  atomic.Pointer[inForce]
	applying sync.Mutex
	// splitting guards splitter, which deals the requests of split routes.
	splitting sync.Mutex
	splitter  *route.Splitter
	reader    *reader
	claims    *claims
	trace     *tracer
	audit     *auditor
	hop       *http.Transport
	upstream  *http.Transport
	sequence  atomic.Uint64
	stopping  atomic.Bool
	active    atomic.Int64
	gate      *gate
	// echoing holds the run of each upstream that names requests in its answers, by the upstream's name.
	echoing sync.Map
	callers net.Listener
	forward net.Listener
	operate net.Listener
	servers []*http.Server
}

// eventQueue bounds the events that wait for the control loop.
const eventQueue = 4096

// New opens all listeners and returns a daemon that is ready to run.
func New(config Config) (*Daemon, error) {
	if config.Timing.Heartbeat == 0 {
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
		config:   config,
		settings: s,
		logs:     loggers,
		metrics:  metrics.New(s.GetInstance()),
		clock:    clock.NewMachine(),
		identity: source,
		events:   make(chan serviceEvent, eventQueue),
		control:  upstream.NewControl(config.Timing.Suspect / 2),
		gate:     newGate(),
		splitter: route.NewSplitter(),
	}
	client := platform.NewClient(platform.Config{
		URL:    s.GetPlatform(),
		Member: s.GetInstance(),
	})
	d.table = client
	d.objects = client
	d.list = client
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.reader = newReader(d)
	d.claims = newClaims(d)
	d.audit = newAuditor(d)
	d.trace, err = newTracer(d)
	if err != nil {
		return nil, err
	}
	return d, nil
}

// listen opens the listeners; the member's addresses follow from them, so that settings may use port 0.
func (d *Daemon) listen() error {
	var err error
	if d.callers, err = net.Listen("tcp", d.settings.GetCallers()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if d.forward, err = net.Listen("tcp", d.settings.GetForward()); err != nil {
		return fmt.Errorf("listen for requests of other instances: %w", err)
	}
	if d.operate, err = net.Listen("tcp", d.settings.GetOperators()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	resetKey, err := d.identity.ResetKey()
	if err != nil {
		return err
	}
	d.link, err = instance.Listen(instance.Config{
		Address:   d.settings.GetPeers(),
		ResetKey:  resetKey,
		Server:    d.identity.Server(instance.Protocol),
		Client:    d.identity.Client(instance.Protocol),
		Receive:   d.receive,
		Malformed: d.malformed,
		Allow:     d.config.Allow,
		Count: func(bytes int) {
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
		Peers:     d.link.Address(),
		Forward:   d.forward.Addr().String(),
		Operators: d.operate.Addr().String(),
	}
	d.members = newMembers(d.self)
	d.hop = d.newHop()
	d.upstream = d.newUpstreamTransport()
	return nil
}

// newIncarnation returns a text that sorts after those of earlier runs on the same machine.
func newIncarnation() string {
	var random [4]byte
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%016x%s", time.Now().UnixNano(), hex.EncodeToString(random[:]))
}

func (d *Daemon) malformed(err error) {
	d.metrics.Add(metrics.HeartbeatsMalformed, 1)
	d.logs.For("instance").WithError(err).Warn("heartbeat is malformed")
}

// Self returns this run of the instance.
func (d *Daemon) Self() *schema.Member { return d.self }

// CallerAddress returns the address for callers.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// Run serves until ctx ends, then stops gracefully within the settings' bound. It returns after the last goroutine.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.For("daemon").WithField("member", d.self.GetId()).WithField("callers", d.CallerAddress()).Info("daemon starts")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return d.controlLoop(work) })
	group.Go(func() error { return d.reader.run(work) })
	group.Go(func() error { return d.aliveLoop(work) })
	group.Go(func() error { return d.listLoop(work) })
	group.Go(func() error { return d.claims.run(work) })
	group.Go(func() error { return d.audit.run(work) })
	group.Go(func() error { return d.trace.run(work) })
	d.startServers(group)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	d.stop()
	cancel()
	err := group.Wait()
	d.link.Close()
	d.hop.CloseIdleConnections()
	d.upstream.CloseIdleConnections()
	d.logs.For("daemon").Info("daemon has stopped")
	return err
}

// Kill ends the daemon at once, as a crash would. Run returns soon after its context ends.
func (d *Daemon) Kill() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.link.Close()
	d.stopping.Store(true)
}

const (
	defaultStop  = 30 * time.Second
	defaultDrain = time.Second
	// farewell is how many heartbeat periods a leaving instance goes on to tell that it is idle.
	farewell = 2
	// stopStep is how often a graceful stop looks whether it is finished.
	stopStep = 10 * time.Millisecond
)

// stop leaves gracefully: no new callers, homes handed over, requests in progress finished, within the bound.
func (d *Daemon) stop() {
	bound := time.Duration(d.settings.GetStopMs()) * time.Millisecond
	if bound == 0 {
		bound = defaultStop
	}
	if d.stopping.Swap(true) {
		return
	}
	d.logs.For("daemon").WithField("bound", bound).Info("graceful stop begins")
	d.trace.outcome(&schema.Outcome{
		Kind:    "stop-begins",
		Subject: d.self.GetId(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	d.leave(ctx)
	group := new(errgroup.Group)
	for _, s := range d.servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		d.logs.For("daemon").WithError(err).Warn("stop bound reached with requests in progress")
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// leave waits until this member is the home of no pool and has nothing in progress, or until ctx ends.
func (d *Daemon) leave(ctx context.Context) {
	for _, s := range d.services() {
		d.post(s, &schema.OwnershipEvent{
			Kind: schema.EventKind_stopping,
		})
	}
	ticker := time.NewTicker(stopStep)
	defer ticker.Stop()
	began := time.Now()
	var leftAt time.Time
	for {
		if left := d.left(); left && leftAt.IsZero() {
			leftAt = time.Now()
		} else if !left {
			leftAt = time.Time{}
		}
		// The new homes wait for this one's word that it is idle: it must be out before the process ends.
		told := !leftAt.IsZero() && time.Since(leftAt) >= farewell*d.config.Timing.Heartbeat
		if told && time.Since(began) >= d.drainTime() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drainTime is how long callers are still served after this instance said that it is not ready.
func (d *Daemon) drainTime() time.Duration {
	if ms := d.settings.GetDrainMs(); ms != 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDrain
}

func (d *Daemon) left() bool {
	for _, s := range d.services() {
		if !s.left(d.self.GetId()) {
			return false
		}
	}
	return d.active.Load() == 0
}
