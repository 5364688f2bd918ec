package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"cuminlift"
	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/loopback"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/platform"
)

// player carries out the faults of a schedule. Only one goroutine uses it.
type player struct {
	cluster *cluster
	callers *callers
	// store holds the faults of the store that overlap, and links and paused those of the same target.
	store  []FaultKind
	links  map[*link]int
	paused map[*process]int
}

// step is the begin or the end of a fault.
type step struct {
	at    time.Duration
	fault int
	ends  bool
}

// steps orders the begins and ends of all faults.
func steps(faults []Fault) []step {
	var all []step
	for i, f := range faults {
		all = append(all, step{
			at:    f.begin(),
			fault: i,
		}, step{
			at:    f.end(),
			fault: i,
			ends:  true,
		})
	}
	slices.SortStableFunc(all, func(a, b step) int { return int(a.at - b.at) })
	return all
}

// play carries out the schedule from start on, until ctx ends.
func (p *player) play(ctx context.Context, start time.Time) error {
	k := p.cluster
	for _, s := range steps(k.schedule.Faults) {
		timer := time.NewTimer(time.Until(start.Add(s.at)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		f := k.schedule.Faults[s.fault]
		if !s.ends {
			k.beginSpan(s.fault, f)
			if err := p.begin(ctx, f); err != nil {
				return err
			}
			continue
		}
		if err := p.end(ctx, f); err != nil {
			return err
		}
		k.endSpan(s.fault)
	}
	return nil
}

// beginSpan records that a fault begins. Until endSpan, the disturbance has no end.
func (k *cluster) beginSpan(fault int, f Fault) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for len(k.history.Spans) <= fault {
		k.history.Spans = append(k.history.Spans, Span{})
	}
	k.history.Spans[fault] = Span{
		Kind:   f.Kind,
		Target: f.Target,
		From:   time.Now().UnixNano(),
		To:     endless,
	}
}

func (k *cluster) endSpan(fault int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	span := &k.history.Spans[fault]
	span.To = time.Now().UnixNano()
	switch span.Kind {
	case InstanceKill, InstanceStop:
		span.To += startTime.Nanoseconds()
	case StoreOlder:
		span.To += eraTime.Nanoseconds()
	default:
	}
}

// endless is the end of what has not ended yet.
const endless = 1 << 62

const (
	// startTime is how long an instance that has started again may need until it is in touch.
	startTime = 3 * time.Second
	// eraTime is how long entries of an older copy are compared with what was known.
	eraTime = 4 * time.Second
)

func (p *player) begin(ctx context.Context, f Fault) error {
	k := p.cluster
	switch f.Kind {
	case InstanceKill:
		k.instances[f.Target].kill()
	case InstanceStop:
		k.instances[f.Target].signal(syscall.SIGTERM)
	case InstancePause:
		p.pause(k.instances[f.Target])
	case StoreCut:
		p.cut(k.storeLinks[f.Target], f.Mode)
	case BackendKill:
		if k.backends[f.Target].occupied {
			k.killBackend(f.Target)
		}
	case BackendPause:
		p.pause(k.backends[f.Target].process)
	case BackendDrain:
		if b := k.backends[f.Target]; b.occupied && !b.leaving {
			b.leaving = true
			b.process.signal(syscall.SIGTERM)
		}
	case BackendCut:
		p.cut(k.backends[f.Target].link, f.Mode)
	case BackendSlow, BackendBreaks, BackendRepeats, BackendBabbles, BackendMisstates:
		p.backendFaults(f, true)
	case StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets:
		p.store = append(p.store, f.Kind)
		return p.storeFaults()
	case StoreOlder:
		defer func() { go k.rewrite() }()
		return k.control("http://"+loopback.Address(storeHost, storePort)+rowserver.DrillPath, rowserver.Drill{
			AgeMS: f.ForMS / 2,
		})
	case ZoneEvacuation:
		go k.evacuate(ctx, zoneName(f.Target), time.Duration(f.ForMS)*time.Millisecond)
	case Configuration:
		go k.rewrite()
	case CallerBurst:
		p.callers.bursts.Add(1)
	}
	return nil
}

// rewrite writes the next version of the configuration. A store that is away for too long misses it.
func (k *cluster) rewrite() { _ = k.configure() }

func (p *player) end(ctx context.Context, f Fault) error {
	k := p.cluster
	switch f.Kind {
	case InstanceKill:
		return p.restart(ctx, f.Target)
	case InstanceStop:
		select {
		case <-k.instances[f.Target].ended:
		case <-time.After(k.schedule.stopTimeout()):
			k.instances[f.Target].kill()
		}
		return p.restart(ctx, f.Target)
	case InstancePause:
		p.resume(k.instances[f.Target])
	case BackendPause:
		p.resume(k.backends[f.Target].process)
	case StoreCut:
		p.heal(k.storeLinks[f.Target])
	case BackendCut:
		p.heal(k.backends[f.Target].link)
	case BackendKill:
		if b := k.backends[f.Target]; !b.occupied {
			return k.startBackend(f.Target)
		}
	case BackendDrain:
		return p.replaceDrained(f.Target)
	case BackendSlow, BackendBreaks, BackendRepeats, BackendBabbles, BackendMisstates:
		p.backendFaults(f, false)
	case StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets:
		at := slices.Index(p.store, f.Kind)
		p.store = slices.Delete(p.store, at, at+1)
		return p.storeFaults()
	case CallerBurst:
		p.callers.bursts.Add(-1)
	case StoreOlder, ZoneEvacuation, Configuration:
	}
	return nil
}

// restart starts an instance that has ended.
func (p *player) restart(ctx context.Context, number int) error {
	select {
	case <-p.cluster.instances[number].ended:
	default:
		return nil // Another fault has started it.
	}
	if ctx.Err() != nil {
		return nil
	}
	return p.cluster.startInstance(number)
}

// replaceDrained starts a new backend in the slot of one that has left.
func (p *player) replaceDrained(slot int) error {
	b := p.cluster.backends[slot]
	if !b.leaving {
		return nil
	}
	select {
	case <-b.process.ended:
	case <-time.After(drainTime + defaultStopTimeout):
		p.cluster.killBackend(slot)
	}
	return p.cluster.startBackend(slot)
}

func (p *player) pause(process *process) {
	p.paused[process]++
	process.signal(syscall.SIGSTOP)
}

func (p *player) resume(process *process) {
	if p.paused[process]--; p.paused[process] <= 0 {
		process.signal(syscall.SIGCONT)
	}
}

func (p *player) cut(l *link, mode LinkMode) {
	p.links[l]++
	l.set(mode)
}

func (p *player) heal(l *link) {
	if p.links[l]--; p.links[l] <= 0 {
		l.set(LinkOpen)
	}
}

// injected holds what the faults of a backend do.
var injected = map[FaultKind]backend.Faults{
	BackendSlow: {
		SlowBy: 10,
	},
	BackendBreaks: {
		Broken: 0.3,
	},
	BackendRepeats: {
		Refused:  0.45,
		Repeated: 0.3,
	},
	BackendBabbles: {
		Refused:    0.2,
		Additional: 0.1,
	},
	BackendMisstates: {
		Misstated: 0.3,
	},
}

func (p *player) backendFaults(f Fault, begins bool) {
	faults := backend.Faults{}
	if begins {
		faults = injected[f.Kind]
	}
	faults.LateGrants = p.cluster.schedule.LateGrants
	// A backend that is paused or gone has no faults of its own.
	_ = p.cluster.control("http://"+p.cluster.backends[f.Target].address+backend.FaultsPath, faults)
}

// slowStore is the delay of the calls to a slow store.
const slowStore = 700 * time.Millisecond

func (p *player) storeFaults() error {
	faults := rowserver.Faults{
		Down:      slices.Contains(p.store, StoreDown),
		Silent:    slices.Contains(p.store, StoreSilent),
		NoHistory: slices.Contains(p.store, StoreForgets),
	}
	if slices.Contains(p.store, StoreSlow) {
		faults.DelayMS = int(slowStore.Milliseconds())
	}
	if slices.Contains(p.store, StoreLoses) {
		faults.LostAnswers = 0.4
	}
	return p.cluster.setStoreFaults(faults)
}

// evacuate takes a zone out for a time.
func (k *cluster) evacuate(ctx context.Context, zone string, lasts time.Duration) {
	row := platform.EvacuationRow(zone)
	if k.commit(ctx, cuminlift.RowTransaction{
		Put: []cuminlift.Row{row},
	}) != nil {
		return // The run has ended.
	}
	acknowledged := time.Now().UnixNano()
	k.mutex.Lock()
	k.history.Orders = append(k.history.Orders, Order{
		Zone: zone,
		From: acknowledged,
		To:   endless,
	})
	k.mutex.Unlock()
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	k.mutex.Lock()
	for i, o := range k.history.Orders {
		if o.Zone == zone && o.To > time.Now().UnixNano() {
			k.history.Orders[i].To = time.Now().UnixNano() // Also an order that repeats this one.
		}
	}
	k.mutex.Unlock()
	// The run may end before the order is taken back.
	_ = k.commit(ctx, cuminlift.RowTransaction{
		Remove: []cuminlift.Row{row},
	})
}
