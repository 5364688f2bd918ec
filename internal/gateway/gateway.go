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
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cuminlift/core/route"
	"cuminlift/internal/logs"
	"cuminlift/io/upstream"
)

// Gateway is one instance.
type Gateway struct {
	config   Config
	log      *logrus.Entry
	follower *follower
	office   *office
	entry    *entry
	election *election
	counters *counters
}

const (
	// stopServing is the time after the order to stop in which new connections are still taken: until the platform has seen twice, a
	// second apart, that the instance is not ready.
	stopServing = 2500 * time.Millisecond
	// stopReserve is left of the time to stop for the process to end.
	stopReserve = 300 * time.Millisecond
	// headerLimit bounds the time in which a caller sends the head of a request, and idleLimit that between requests. Both lie above what
	// operators allow callers, whose own limits close earlier.
	headerLimit = 10 * time.Second
	idleLimit   = 90 * time.Second
	// collectAt is the growth of the heap, in percent, at which garbage is collected: memory is dearer than its time.
	collectAt = 60
)

// New returns an instance that does nothing yet.
func New(config Config) (*Gateway, error) {
	set, err := logs.New("", config.Settings.Name, config.Log)
	if err != nil {
		return nil, err
	}
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, fmt.Errorf("no random number for the incarnation: %w", err)
	}
	g := &Gateway{
		config:   config,
		log:      set.For("daemon"),
		counters: newCounters(),
	}
	g.follower = newFollower(config, set.For("configuration"))
	g.office = newOffice(config, set.For("instance"), g.follower.view)
	g.office.storeReached = func() bool { return g.follower.storeReached(reachedLately) }
	g.office.tryStore = func() { g.follower.try(context.Background()) }
	g.office.tables = []*tableDuty{g.follower.configuration, g.follower.upstreams}
	g.entry = &entry{
		config:    config,
		log:       set.For("caller"),
		view:      g.follower.view,
		office:    g.office,
		exchanger: upstream.NewClient(config.Headers),
		counters:  g.counters,
		splitter:  route.NewSplitter(),
	}
	g.election = &election{
		config:      config,
		clock:       config.Clock,
		log:         set.For("ownership"),
		office:      g.office,
		view:        g.follower.view,
		tables:      g.office.tables,
		incarnation: hex.EncodeToString(incarnation),
		pause:       storePause,
	}
	return g, nil
}

// Run serves until ctx ends, then stops gracefully within the settings' limit.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(collectAt)
	if limit := g.config.Settings.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(limit / 2)
	}
	front, err := net.Listen("tcp4", g.config.Settings.FrontAddress)
	if err != nil {
		return fmt.Errorf("callers can't be served: %w", err)
	}
	peers, err := net.Listen("tcp4", g.config.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("other instances can't connect: %w", err)
	}
	ready, err := net.Listen("tcp4", g.config.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("readiness can't be told: %w", err)
	}
	g.log.Info("instance starts")
	callers := &http.Server{
		Handler:           g.entry,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
	}
	readiness := &http.Server{
		Handler:           g.readyHandler(),
		ReadHeaderTimeout: headerLimit,
	}
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, duties := errgroup.WithContext(duties)
	group.Go(func() error { return g.follower.follow(duties, g.follower.configuration) })
	group.Go(func() error { return g.follower.follow(duties, g.follower.upstreams) })
	group.Go(func() error { return g.office.listenPeers(duties, peers) })
	group.Go(func() error { return g.office.run(duties) })
	// The coordinator hands over as soon as the order to stop comes.
	group.Go(func() error { return g.election.run(ctx) })
	group.Go(func() error { return served(callers.Serve(front)) })
	group.Go(func() error { return served(readiness.Serve(ready)) })
	g.serveMetrics(duties, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.stop(callers, readiness)
		case <-duties.Done():
		}
		cancel()
		return nil
	})
	err = group.Wait()
	g.log.Info("instance ends")
	return err
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop tells the platform, goes on until new connections go elsewhere, and finishes what is in progress.
func (g *Gateway) stop(callers, readiness *http.Server) {
	began := time.Now()
	g.log.Info("instance stops")
	g.entry.stopping.Store(true)
	time.Sleep(min(stopServing, g.config.Settings.StopLimit/2))
	limit := g.config.Settings.StopLimit - stopReserve - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.WithError(err).Warn("requests are cut: the time to stop is over")
	}
	if err := readiness.Close(); err != nil {
		g.log.WithError(err).Warn("readiness was not closed")
	}
}

// readyHandler answers the platform's question whether the instance takes connections.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		v := g.follower.view()
		if v.table == nil || !v.listed || g.entry.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// serveMetrics serves the counters where the settings name an address.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group) {
	if g.config.Settings.MetricsAddress == "" {
		return
	}
	listener, err := net.Listen("tcp4", g.config.Settings.MetricsAddress)
	if err != nil {
		g.log.WithError(err).Warn("metrics are not served")
		return
	}
	vars := new(expvar.Map).Init()
	vars.Set("events", g.counters.events)
	vars.Set("latency-us", expvar.Func(g.counters.latencies))
	vars.Set("upstream-connections", expvar.Func(func() any { return g.entry.exchanger.Dials() }))
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintln(w, vars.String())
		}),
		ReadHeaderTimeout: headerLimit,
		WriteTimeout:      headerLimit,
	}
	group.Go(func() error { return served(server.Serve(listener)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
