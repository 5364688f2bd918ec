package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"cuminlift/internal/mutant"
)

// Config configures a run.
type Config struct {
	// Programs is the folder with the programs cuminlift-gateway and cuminlift-standin.
	Programs string
	// Mutant is the fault that is planted in the instances, empty for none. The programs must be built for it.
	Mutant mutant.Name
	// Folder receives logs and settings.
	Folder string
}

// Summary counts what a run saw.
type Summary struct {
	Requests, Answered, Refused, Dropped, Left int
	Runs                                       int
	Violations                                 []Violation
}

// Run plays a schedule and returns what was seen. It ends the processes that it has started, also if ctx ends.
func Run(ctx context.Context, config Config, schedule Schedule) (Summary, error) {
	if err := schedule.Check(); err != nil {
		return Summary{}, err
	}
	k, err := newCluster(config, schedule)
	defer k.stop()
	if err != nil {
		return Summary{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(schedule.DurationMS)*time.Millisecond)
	defer cancel()
	go k.expire(ctx)
	c := &callers{
		cluster: k,
		ready:   make([]atomic.Bool, schedule.Instances),
	}
	called := make(chan struct{})
	go func() {
		defer close(called)
		c.run(ctx, schedule.Seed)
	}()
	p := &player{
		cluster: k,
		callers: c,
		links:   map[*link]int{},
		paused:  map[*process]int{},
	}
	playErr := p.play(ctx, time.Now())
	<-ctx.Done()
	<-called
	if playErr == nil && !errors.Is(ctx.Err(), context.Canceled) {
		k.awaitFreeSlots()
	}
	k.stop()
	if playErr != nil {
		return Summary{}, fmt.Errorf("playing the schedule: %w", playErr)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return Summary{}, ctx.Err()
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.eventsErr != nil {
		return Summary{}, k.eventsErr
	}
	return summarize(&k.history), nil
}

func summarize(h *History) Summary {
	s := Summary{
		Requests: len(h.Results),
		Runs:     len(begun(h)),
	}
	for _, r := range h.Results {
		switch {
		case r.Outcome == Dropped:
			s.Dropped++
		case r.Outcome == Left:
			s.Left++
		case r.Status == 200:
			s.Answered++
		default:
			s.Refused++
		}
	}
	s.Violations = Check(h)
	return s
}

// Shorten drops faults from a schedule that breaks a promise as long as it still does.
func Shorten(ctx context.Context, config Config, schedule Schedule) (Schedule, error) {
	for at := len(schedule.Faults) - 1; at >= 0; at-- {
		shorter := schedule.Without(at)
		summary, err := Run(ctx, config, shorter)
		if err != nil {
			return schedule, err
		}
		if len(summary.Violations) > 0 {
			schedule = shorter
		}
	}
	return schedule, nil
}

// NewFolder creates a folder for the logs of one run in parent.
func NewFolder(parent string, seed uint64) (string, error) {
	folder := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	return folder, os.MkdirAll(folder, 0o755)
}
