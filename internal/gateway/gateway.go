package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cuminlift/core/route"
	"cuminlift/core/shutdown"
	"cuminlift/internal/logs"
	"cuminlift/internal/mutant"
	"cuminlift/io/upstream"
)

// Gateway runs one instance.
type Gateway struct {
	config         Config
	log            *logrus.Entry
	follower       *follower
	ticketClient   *ticketClient
	requestHandler *requestHandler
	elector        *elector
	paths          *pathMonitor
	counters       *counters
	// endLastCall is called when nothing is passed on any more.
	endLastCall context.CancelFunc
}

const (
	// drainDelay is how long a stopping instance still accepts new connections: the platform polls readiness every
	// second and must see the instance not ready twice before it sends connections elsewhere.
	drainDelay = 2500 * time.Millisecond
	// exitReserve is the part of the shutdown timeout that is kept for the process to exit.
	exitReserve = 300 * time.Millisecond
	// lastWaitShare is the part of the shutdown timeout, before its end, in which no request is passed on any more, however short it
	// usually is.
	lastWaitShare = 1.0 / 6
	// headerTimeout bounds how long a caller may take to send request headers, and idleTimeout how long a connection
	// may stay idle between requests. Both exceed what operators allow callers, whose own limits close connections earlier.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// gcPercent is the GOGC value. Below the default of 100, because memory is scarcer than CPU time.
	gcPercent = 60
	// coordinatorGCPercent is the value at the coordinator of manyInstances or more, where one instance's processor is scarcer.
	coordinatorGCPercent = 200
	manyInstances        = 100
)

// New returns an instance that is not serving yet.
func New(config Config) (*Gateway, error) {
	loggers, err := logs.New("", config.Settings.Name, config.Log)
	if err != nil {
		return nil, err
	}
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, fmt.Errorf("generating the incarnation: %w", err)
	}
	counters := newCounters()
	store := &watchedStore{
		store:    config.Store,
		clock:    config.Clock,
		log:      loggers.For("configuration"),
		counters: counters,
	}
	config.Store = store
	g := &Gateway{
		config:   config,
		log:      loggers.For("daemon"),
		counters: counters,
	}
	g.follower = newFollower(config, loggers.For("configuration"))
	g.ticketClient = newTicketClient(config, loggers.For("instance"), g.follower.view)
	g.ticketClient.storeReachable = g.follower.storeReachable
	g.ticketClient.requestStoreProbe = func(instances int) { g.follower.probeStore(context.Background(), instances) }
	g.ticketClient.departures = g.follower
	g.ticketClient.store = store
	g.follower.instances = g.ticketClient.readingInstances
	g.ticketClient.tables = []*tableFeed{g.follower.configuration, g.follower.upstreams}
	store.feeds = g.ticketClient.tables
	buffers := newBodyBuffers(config.Settings.MemoryBytes)
	client := newUpstreamClient(config, config.DialUpstream, buffers)
	g.paths = &pathMonitor{
		clock:  config.Clock,
		log:    loggers.For("instance"),
		view:   g.follower.view,
		client: client,
		lost:   map[string]bool{},
	}
	g.ticketClient.paths = g.paths
	g.ticketClient.incarnation = hex.EncodeToString(incarnation)
	g.paths.onLost = g.ticketClient.pathsLost
	lastCall, endLastCall := context.WithCancel(context.Background())
	g.endLastCall = endLastCall
	g.requestHandler = &requestHandler{
		lastCall:       lastCall,
		config:         config,
		log:            loggers.For("caller"),
		view:           g.follower.view,
		ticketClient:   g.ticketClient,
		upstreamClient: client,
		relayClient:    newUpstreamClient(config, nil, buffers),
		paths:          g.paths,
		counters:       g.counters,
		buffers:        buffers,
		splitter:       route.NewSplitter(),
	}
	g.elector = &elector{
		config:       config,
		clock:        config.Clock,
		log:          loggers.For("ownership"),
		counters:     g.counters,
		ticketClient: g.ticketClient,
		view:         g.follower.view,
		tables:       g.ticketClient.tables,
		departures:   g.follower,
		paths:        g.paths,
		store:        store,
		incarnation:  g.ticketClient.incarnation,
		readPause:    storeRetryPause,
	}
	return g, nil
}

// newUpstreamClient returns a client whose large heads share the memory of buffered responses. dial is nil for the default.
func newUpstreamClient(config Config, dial upstream.DialFunc, buffers *bodyBuffers) *upstream.Client {
	return upstream.NewConfiguredClient(upstream.ClientConfig{
		Headers: config.Headers,
		Dial:    dial,
		Heads: headMemory{
			budget: buffers.budget,
		},
	})
}

// Run serves until ctx ends, then shuts down gracefully within the settings' ShutdownTimeout.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if memoryLimit := g.config.Settings.MemoryBytes; memoryLimit > 0 {
		debug.SetMemoryLimit(memoryLimit / 2)
	}
	frontListener, err := net.Listen("tcp4", g.config.Settings.FrontAddress)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	peerListener, err := net.Listen("tcp4", g.config.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listening for other instances: %w", err)
	}
	readyListener, err := net.Listen("tcp4", g.config.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listening for readiness checks: %w", err)
	}
	var relayListener net.Listener
	if address := g.config.Settings.RelayAddress; address != "" {
		if relayListener, err = net.Listen("tcp4", address); err != nil {
			return fmt.Errorf("listening for requests of other instances: %w", err)
		}
	}
	g.log.Info("instance starts")
	callerServer := g.newCallerServer()
	readinessServer := &http.Server{
		Handler:           g.readinessHandler(),
		ReadHeaderTimeout: headerTimeout,
	}
	relayServer := newHTTPServer(http.HandlerFunc(g.requestHandler.serveRelay))
	groupCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(groupCtx)
	group.Go(func() error { return g.follower.follow(groupCtx, g.follower.configuration) })
	group.Go(func() error { return g.follower.follow(groupCtx, g.follower.upstreams) })
	group.Go(func() error { return g.ticketClient.acceptPeers(groupCtx, peerListener) })
	group.Go(func() error { return g.ticketClient.run(groupCtx) })
	group.Go(func() error { return g.paths.run(groupCtx) })
	// The elector gets ctx itself, so that a coordinator hands over as soon as shutdown begins.
	group.Go(func() error { return g.elector.run(ctx) })
	group.Go(func() error { return ignoreServerClosed(callerServer.Serve(frontListener)) })
	group.Go(func() error { return ignoreServerClosed(readinessServer.Serve(readyListener)) })
	if relayListener != nil {
		group.Go(func() error { return ignoreServerClosed(relayServer.Serve(relayListener)) })
	}
	g.serveMetrics(groupCtx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.shutdown(callerServer, relayServer, readinessServer)
		case <-groupCtx.Done():
		}
		cancel()
		return nil
	})
	err = group.Wait()
	g.log.Info("instance stopped")
	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown reports not ready, keeps serving until new connections go elsewhere, and lets requests in progress finish.
func (g *Gateway) shutdown(callerServer callerServer, relayServer *httpServer, readinessServer *http.Server) {
	g.log.Info("instance is stopping")
	g.requestHandler.stopping.Store(true)
	timeout := g.config.Settings.ShutdownTimeout - exitReserve
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	lastWait := time.Duration(lastWaitShare * float64(g.config.Settings.ShutdownTimeout))
	g.ticketClient.stopper.begin(shutdown.Plan{
		End:      g.config.Clock.Now() + timeout,
		LastWait: lastWait,
	})
	go g.ticketClient.refuseUnanswerable(ctx)
	defer time.AfterFunc(timeout-lastWait, func() {
		g.endLastCall()
		callerServer.RefuseIncomplete()
	}).Stop()
	if mutant.Is(mutant.StopCuts) {
		callerServer.Close()
	}
	time.Sleep(min(drainDelay, g.config.Settings.ShutdownTimeout/2))
	var group sync.WaitGroup
	group.Go(func() {
		if err := callerServer.Shutdown(ctx); err != nil {
			g.log.WithError(err).Warn("shutdown timeout exceeded, aborting open requests")
		}
	})
	group.Go(func() {
		if err := relayServer.Shutdown(ctx); err != nil {
			g.log.WithError(err).Warn("shutdown timeout exceeded, aborting requests of other instances")
		}
	})
	group.Wait()
	if err := readinessServer.Close(); err != nil {
		g.log.WithError(err).Warn("closing the readiness server failed")
	}
}

// readinessHandler serves the platform's readiness check.
func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		v := g.follower.view()
		if v.table == nil || !v.listed || g.requestHandler.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// serveMetrics serves the counters if the settings give an address for them.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group) {
	if g.config.Settings.MetricsAddress == "" {
		return
	}
	listener, err := net.Listen("tcp4", g.config.Settings.MetricsAddress)
	if err != nil {
		g.log.WithError(err).Warn("listening for metrics requests failed, metrics are not served")
		return
	}
	vars := new(expvar.Map).Init()
	vars.Set("events", g.counters.events)
	vars.Set("latency-us", expvar.Func(g.counters.latencies))
	vars.Set("buffered-bytes", expvar.Func(func() any { return g.requestHandler.buffers.budget.Used() }))
	vars.Set("slots-in-use", expvar.Func(g.counters.slotsInUse))
	vars.Set("cost", expvar.Func(g.counters.requestCosts))
	vars.Set("workspaces", expvar.Func(g.counters.workspaceCounts))
	vars.Set("upstream-connections", expvar.Func(func() any { return g.requestHandler.upstreamClient.Dials() }))
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintln(w, vars.String())
		}),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      headerTimeout,
	}
	group.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
