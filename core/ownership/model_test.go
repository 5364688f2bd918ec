package ownership_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"cuminlift/core/ownership"
)

// modelBudget is the number of deviations per schedule. A budget of 2 takes minutes and is run by CI separately.
var modelBudget = flag.Int("model-budget", 1, "deviations of a schedule in the model checker")

// The model checker runs the real Guardian through every schedule that differs from the base schedule in at most a
// budget of deviations. A deviation is a message that is late by one tick, late by two ticks, late by more than the
// lifetime of a grant or lost, or a fault that begins. Otherwise messages arrive in the order in which they were sent.
// A state that was already visited with the same budget left is not explored again.

const (
	checkTick    = 150 * time.Millisecond
	checkHorizon = 14 * checkTick
	longDelay    = 6 * checkTick
	faultLength  = 5 * checkTick
)

func checkTiming() ownership.Timing {
	return ownership.Timing{
		HeartbeatInterval: checkTick,
		SuspectTimeout:    2 * checkTick,
		ConfirmationTTL:   4 * checkTick,
		PromiseTTL:        40 * checkTick,
		PollInterval:      checkTick,
		MaxDriftPPM:       1000,
	}
}

// explorer explores the schedules of one scenario.
type explorer struct {
	scenario  []fault
	startedAt time.Duration
	seen      sync.Map
	states    atomic.Int64
	runs      atomic.Int64
	mutex     sync.Mutex
	violation string
}

// branch is a simulation to be continued, with the deviations that it may still make.
type branch struct {
	simulation *simulation
	budget     int
	faults     []fault
	path       []string
	// faultsStarted is true once the scheduled faults of the current time have been applied.
	faultsStarted bool
}

func (b *branch) fork(what string) *branch {
	return &branch{
		simulation:    b.simulation.clone(),
		budget:        b.budget - 1,
		faults:        slices.Clone(b.faults),
		path:          append(slices.Clone(b.path), fmt.Sprintf("%v %s", b.simulation.now, what)),
		faultsStarted: b.faultsStarted,
	}
}

// walk follows the base schedule from b and passes each deviation to spawn.
func (e *explorer) walk(b *branch, spawn func(*branch)) {
	sim := b.simulation
	for sim.now < e.startedAt+checkHorizon && sim.overlap == "" {
		e.states.Add(1)
		if !b.faultsStarted {
			if !e.firstVisit(b) {
				return
			}
			e.startFaults(b)
			b.faultsStarted = true
			e.deviateFaults(b, spawn)
		}
		i := slices.IndexFunc(sim.queue, func(m *message) bool { return m.due <= sim.now })
		if i >= 0 {
			e.deviateMessage(b, i, spawn)
			m := sim.queue[i]
			sim.queue = slices.Delete(slices.Clone(sim.queue), i, i+1)
			sim.deliver(m)
			continue
		}
		sim.tick(checkTick)
		b.faultsStarted = false
	}
	e.runs.Add(1)
	if sim.overlap != "" {
		e.mutex.Lock()
		e.violation = fmt.Sprintf("%s after %v", sim.overlap, b.path)
		e.mutex.Unlock()
	}
}

// firstVisit reports whether the state has not been visited before with this budget.
func (e *explorer) firstVisit(b *branch) bool {
	digest := xxhash.New()
	b.simulation.fingerprint(digest)
	fmt.Fprintln(digest, b.budget, b.faults)
	_, seen := e.seen.LoadOrStore(digest.Sum64(), true)
	return !seen
}

func (e *explorer) startFaults(b *branch) {
	for _, f := range append(slices.Clone(e.scenario), b.faults...) {
		if e.startedAt+f.from == b.simulation.now {
			b.simulation.apply(f, true)
		}
		if e.startedAt+f.to == b.simulation.now {
			b.simulation.apply(f, false)
		}
	}
}

// deviatingFaults are the faults that a schedule may add.
var deviatingFaults = []fault{
	{kind: "platform-down"},
	{kind: "lose-answer"},
	{kind: "block", target: 0},
	{kind: "block", target: 1},
	{kind: "isolate", target: 0},
	{kind: "isolate", target: 1},
	{kind: "pause", target: 0},
	{kind: "pause", target: 1},
	{kind: "freeze", target: 0},
	{kind: "freeze", target: 1},
	{kind: "crash-holder", target: 0},
	{kind: "restart-holder", target: 0},
	{kind: "restart-holder", target: 1},
	{kind: "cut-peers", target: 0},
}

func (e *explorer) deviateFaults(b *branch, spawn func(*branch)) {
	if b.budget == 0 {
		return
	}
	for _, f := range deviatingFaults {
		f.from = b.simulation.now - e.startedAt
		f.to = f.from + faultLength
		next := b.fork(f.String())
		next.faults = append(next.faults, f)
		next.simulation.apply(f, true)
		spawn(next)
	}
}

func (e *explorer) deviateMessage(b *branch, i int, spawn func(*branch)) {
	if b.budget == 0 {
		return
	}
	m := b.simulation.queue[i]
	for _, delay := range []time.Duration{checkTick, 2 * checkTick, longDelay, -1} {
		next := b.fork(fmt.Sprintf("message %d of %d for %d is late by %v", m.kind, m.from, m.node, delay))
		sim := next.simulation
		sim.queue = slices.Delete(sim.queue, i, i+1)
		if delay < 0 {
			sim.dropMessage(m)
		} else {
			late := *m
			late.due = sim.now + delay
			sim.queue = append(sim.queue, &late)
		}
		spawn(next)
	}
}

// explore explores all schedules with at most budget deviations, on all cores.
func explore(config simulationConfig, scenario []fault, budget int) *explorer {
	config.timing = checkTiming()
	start := newSimulation(config)
	start.run(20*checkTick, checkTick)
	e := &explorer{
		scenario:  scenario,
		startedAt: start.now,
	}
	var first []*branch
	e.walk(&branch{
		simulation: start,
		budget:     budget,
	}, func(b *branch) { first = append(first, b) })
	work := make(chan *branch)
	var waiting sync.WaitGroup
	for range runtime.NumCPU() {
		waiting.Go(func() {
			for b := range work {
				e.walkAll(b)
			}
		})
	}
	for _, b := range first {
		work <- b
	}
	close(work)
	waiting.Wait()
	return e
}

func (e *explorer) walkAll(b *branch) {
	stack := []*branch{b}
	for len(stack) > 0 && e.firstViolation() == "" {
		last := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.walk(last, func(next *branch) { stack = append(stack, next) })
	}
}

func (e *explorer) firstViolation() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.violation
}

// smallConfig is the configuration that is checked: two instances and two upstreams in two zones, one slice per
// upstream.
func smallConfig(m mutant) simulationConfig {
	return simulationConfig{
		nodes:   2,
		holders: 2,
		slices:  1,
		zones:   2,
		mutant:  m,
	}
}

func ticks(n int) time.Duration { return time.Duration(n) * checkTick }

// scenarios are the base schedules that deviations start from.
var scenarios = map[string][]fault{
	"nothing happens": nil,
	"upstream freezes and returns": {{
		kind:   "freeze",
		target: 0,
		from:   ticks(1),
		to:     ticks(9),
	}},
	"upstream is cut off with its instance": {{
		kind:   "isolate",
		target: 0,
		from:   ticks(1),
		to:     ticks(10),
	}},
	"upstream is taken out": {{
		kind:   "out-holder",
		target: 0,
		from:   ticks(1),
		to:     ticks(30),
	}},
	"upstream restarts and is taken out": {
		{
			kind:   "restart-holder",
			target: 0,
			from:   ticks(1),
			to:     ticks(1),
		},
		{
			kind:   "out-holder",
			target: 0,
			from:   ticks(4),
			to:     ticks(30),
		},
	},
	"answer is lost before an outage": {
		{
			kind: "lose-answer",
			from: ticks(1),
			to:   ticks(1),
		},
		{
			kind:   "out-holder",
			target: 0,
			from:   ticks(1),
			to:     ticks(30),
		},
		{
			kind: "platform-down",
			from: ticks(2),
			to:   ticks(6),
		},
		{
			kind:   "isolate",
			target: 0,
			from:   ticks(5),
			to:     ticks(30),
		},
	},
	"upstream crashes during an outage": {
		{
			kind: "platform-down",
			from: ticks(1),
			to:   ticks(30),
		},
		{
			kind:   "crash-holder",
			target: 0,
			from:   ticks(4),
			to:     ticks(30),
		},
	},
}

func TestModelHasNoTwoOwners(t *testing.T) {
	budget := *modelBudget
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := explore(smallConfig(mutant{}), scenario, budget)
			t.Logf("budget %d: %d states, %d schedules", budget, e.states.Load(), e.runs.Load())
			c.Assert(e.violation, qt.Equals, "")
			c.Assert(e.runs.Load() > 100, qt.IsTrue)
		})
	}
}

func TestModelCheckerFindsMutants(t *testing.T) {
	cases := map[string]struct {
		mutant   mutant
		scenario []fault
		budget   int
	}{
		"fence is not compared": {
			mutant: mutant{
				ignoreFence: true,
			},
			scenario: scenarios["upstream restarts and is taken out"],
			budget:   2,
		},
		"wait is too short": {
			mutant: mutant{
				shortWait: true,
			},
			scenario: scenarios["upstream freezes and returns"],
			budget:   1,
		},
		"lost answer is taken for a conflict": {
			mutant: mutant{
				lostIsConflict: true,
			},
			scenario: scenarios["answer is lost before an outage"],
			budget:   2,
		},
		"grant lasts from its arrival": {
			mutant: mutant{
				delayedTTL: true,
			},
			scenario: scenarios["upstream freezes and returns"],
			budget:   2,
		},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := explore(smallConfig(testCase.mutant), testCase.scenario, testCase.budget)
			t.Logf("%d states, %d schedules: %s", e.states.Load(), e.runs.Load(), e.violation)
			c.Assert(e.violation, qt.Not(qt.Equals), "")
		})
	}
}
