package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/paths"
	"cuminlift/io/upstream"
)

const (
	// pathProbeTimeout bounds a probe of a path, and pathProbeInterval is the time between looks for probes that are due.
	pathProbeTimeout  = 300 * time.Millisecond
	pathProbeInterval = 100 * time.Millisecond
	// stallTimeout is how long a request may be unanswered, while nothing else is answered by its service, until the path is probed.
	// It is longer than most answers take.
	stallTimeout = 500 * time.Millisecond
	// crashCheckTimeout bounds the check whether an upstream has ended. A machine that is alive refuses a connection within a round
	// trip.
	crashCheckTimeout = 100 * time.Millisecond
)

// pathMonitor tracks which upstreams this instance reaches.
type pathMonitor struct {
	clock  cuminlift.Clock
	log    *logrus.Entry
	view   func() *view
	client *upstream.Client

	// onLost is called when the paths to all upstreams of a service are lost.
	onLost func(service string)

	mutex   sync.Mutex
	monitor paths.Monitor
	lost    map[string]bool
}

func (p *pathMonitor) reached(service, upstream string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.monitor.Reached(p.clock.Now(), service, upstream)
	p.logChange(service)
}

// failed records that an attempt to reach an upstream, which began took ago, has failed.
func (p *pathMonitor) failed(service, upstream string, took time.Duration) {
	p.mutex.Lock()
	now := p.clock.Now()
	p.monitor.Failed(now, now-took, service, upstream)
	lost := p.logChange(service)
	p.mutex.Unlock()
	if lost {
		p.onLost(service)
	}
}

// logChange logs that the paths to the upstreams of a service are lost or regained. It reports whether they have just been lost.
func (p *pathMonitor) logChange(service string) bool {
	lost := p.monitor.Lost(service)
	if lost == p.lost[service] {
		return false
	}
	p.lost[service] = lost
	p.log.WithFields(logrus.Fields{
		"service": service,
		"lost":    lost,
	}).Warn("paths to upstreams changed")
	return lost
}

// allLost reports whether the paths to all upstreams of a service are lost.
func (p *pathMonitor) allLost(service string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.Lost(service)
}

// avoid reports whether another instance had better send a request to an upstream.
func (p *pathMonitor) avoid(service, upstream string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.Avoid(service, upstream)
}

// failedCount returns the number of upstreams that this instance does not reach.
func (p *pathMonitor) failedCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.FailedCount()
}

// anyLost reports whether the paths to all upstreams of some service are lost.
func (p *pathMonitor) anyLost() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.AnyLost()
}

// holdersLost reports whether the paths to most upstreams of a keyed service are lost.
func (p *pathMonitor) holdersLost() bool {
	v := p.view()
	if v.table == nil || p.failedCount() == 0 {
		return false
	}
	listed := v.upstreamIDs()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	lost := false
	for name, service := range v.table.Services {
		lost = (service.Keyed && p.monitor.MostlyLost(p.clock.Now(), name, len(listed[name]))) || lost
	}
	return lost
}

// lacks tells how this instance knows that it lacks paths to upstreams of a service that other instances have.
func (p *pathMonitor) lacks(service string, total int, lastAnswered func(upstream string) time.Duration) paths.Lack {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.Lacks(p.clock.Now(), service, total, lastAnswered)
}

// watchStall probes the path to an upstream if a request to it is not answered for long. The caller must call stop once it is.
func (p *pathMonitor) watchStall(service, upstream, address string) (stop func() bool) {
	sent := p.clock.Now()
	timer := time.AfterFunc(stallTimeout, func() {
		p.mutex.Lock()
		stalled := p.monitor.Stalled(p.clock.Now(), sent, service)
		p.mutex.Unlock()
		if stalled {
			p.probe(context.Background(), service, upstream, address)
		}
	})
	return timer.Stop
}

func (p *pathMonitor) probe(ctx context.Context, service, id, address string) {
	began := time.Now()
	if p.client.Check(ctx, address, pathProbeTimeout) == upstream.Listens {
		p.reached(service, id)
		return
	}
	p.failed(service, id, time.Since(began))
}

// run probes upstreams that were not reached until ctx ends.
func (p *pathMonitor) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, pathProbeInterval)
		if p.failedCount() == 0 {
			continue
		}
		v := p.view()
		list, listed := v.list, v.upstreamIDs()
		p.mutex.Lock()
		due := p.monitor.DueProbes(p.clock.Now(), listed)
		p.mutex.Unlock()
		for _, probe := range due {
			go p.probe(ctx, probe.Service, probe.Upstream, list.Upstreams[probe.Upstream].Address)
		}
	}
	return nil
}
