// Package soak runs the system's own programs against stand-ins of the operators' platform, injects faults that a seed draws, and checks
// the promises from what callers and backends saw.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults. Those of instances and backends have a target, those of the store and the operators none.
const (
	InstanceKill  FaultKind = "instance-kill"
	InstanceStop  FaultKind = "instance-stop"
	InstancePause FaultKind = "instance-pause"
	StoreCut      FaultKind = "store-cut"
	BackendKill   FaultKind = "backend-kill"
	BackendPause  FaultKind = "backend-pause"
	BackendDrain  FaultKind = "backend-drain"
	BackendCut    FaultKind = "backend-cut"
	BackendSlow   FaultKind = "backend-slow"
	BackendBreaks FaultKind = "backend-breaks"
	// BackendRepeats: requests are refused, and answers are written twice.
	BackendRepeats FaultKind = "backend-repeats"
	// BackendBabbles: bytes that belong to no request are written behind answers.
	BackendBabbles FaultKind = "backend-babbles"
	// BackendMisstates: requests are run and answered as if they had not been.
	BackendMisstates FaultKind = "backend-misstates"
	StoreDown        FaultKind = "store-down"
	StoreSilent      FaultKind = "store-silent"
	StoreSlow        FaultKind = "store-slow"
	StoreLoses       FaultKind = "store-loses-answers"
	StoreForgets     FaultKind = "store-forgets"
	StoreOlder       FaultKind = "store-older"
	ZoneEvacuation   FaultKind = "zone-evacuation"
	Configuration    FaultKind = "configuration"
	// CallerBurst: there are burstCallers more. It comes with other faults only.
	CallerBurst FaultKind = "caller-burst"
)

// Fault is one fault of a schedule.
type Fault struct {
	AtMS  int       `json:"at-ms"`
	ForMS int       `json:"for-ms,omitempty"`
	Kind  FaultKind `json:"kind"`
	// Target is the number of the instance or backend slot, or of the zone.
	Target int `json:"target,omitempty"`
	// Mode says how a link is cut.
	Mode LinkMode `json:"mode,omitempty"`
}

func (f Fault) begin() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }
func (f Fault) end() time.Duration   { return time.Duration(f.AtMS+f.ForMS) * time.Millisecond }

// Schedule is what one run plays.
type Schedule struct {
	Seed       uint64 `json:"seed"`
	DurationMS int    `json:"duration-ms"`
	Instances  int    `json:"instances"`
	Backends   int    `json:"backends"`
	// StopMS is how long an instance may take to stop, 0 for defaultStopTimeout.
	StopMS int `json:"stop-ms,omitempty"`
	// LateGrants is the share of the grants that backends don't answer and carry out later.
	LateGrants float64 `json:"late-grants,omitempty"`
	Faults     []Fault `json:"faults"`
}

// ScheduleError reports an unusable schedule.
type ScheduleError struct {
	Problem string
}

func (e *ScheduleError) Error() string {
	return "schedule: " + e.Problem + ": correct it and run again"
}

const (
	// defaultStopTimeout is longer than any request. With shortStopTimeout, a stop ends while requests still wait.
	defaultStopTimeout = 6 * time.Second
	shortStopTimeout   = 2 * time.Second
)

// lateGrants is the share of the grants that are carried out late in some runs.
const lateGrants = 0.3

// stopTimeout returns how long an instance may take to stop.
func (s Schedule) stopTimeout() time.Duration {
	if s.StopMS == 0 {
		return defaultStopTimeout
	}
	return time.Duration(s.StopMS) * time.Millisecond
}

// zoneCount is the number of availability zones.
const zoneCount = 3

const (
	// quietStart is how long nothing is injected, so that the system comes up, and quietEnd how long at the end.
	quietStart = 6 * time.Second
	quietEnd   = 5 * time.Second
	// meanGap is the mean time between faults, which overlap.
	meanGap = 1500 * time.Millisecond
	// maxFault bounds the duration of a fault, and minFault is the shortest.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// evacuationTime is how long a zone is evacuated.
	evacuationTime = 9 * time.Second
)

// kinds are all kinds of faults.
var kinds = []FaultKind{
	InstanceKill, InstanceStop, InstancePause, StoreCut, BackendKill, BackendPause, BackendDrain, BackendCut, BackendSlow, BackendBreaks,
	BackendRepeats, BackendBabbles, BackendMisstates, StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets, StoreOlder, ZoneEvacuation, Configuration,
	CallerBurst,
}

// weight is the share of the faults that are of a kind.
func (k FaultKind) weight() int {
	switch k {
	case BackendDrain:
		return 8
	case BackendKill, BackendCut:
		return 5
	case InstanceKill, InstanceStop, InstancePause, StoreCut, BackendPause, ZoneEvacuation, Configuration:
		return 4
	case BackendSlow, BackendBreaks, BackendRepeats, BackendBabbles, BackendMisstates:
		return 3
	case CallerBurst:
		return 0
	case StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets, StoreOlder:
	}
	return 2
}

// Draw returns the schedule of a seed.
func Draw(seed uint64, duration time.Duration, instances, backends int) Schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	s := Schedule{
		Seed:       seed,
		DurationMS: int(duration.Milliseconds()),
		Instances:  instances,
		Backends:   backends,
	}
	// A generator of its own, so that the faults of a seed stay the same.
	wholeRun := rand.New(rand.NewPCG(seed, 2))
	if wholeRun.IntN(2) == 0 {
		s.StopMS = int(shortStopTimeout.Milliseconds())
	}
	if wholeRun.IntN(3) == 0 {
		s.LateGrants = lateGrants
	}
	total := 0
	for _, k := range kinds {
		total += k.weight()
	}
	for at := quietStart; at < duration-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		pick := random.IntN(total)
		kind := FaultKind("")
		for _, k := range kinds {
			if pick -= k.weight(); pick < 0 {
				kind = k
				break
			}
		}
		lasts := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		f := Fault{
			AtMS:  int(at.Milliseconds()),
			ForMS: int(lasts.Milliseconds()),
			Kind:  kind,
		}
		switch kind {
		case InstanceStop:
			f.Target = random.IntN(instances)
			f.ForMS = int(s.stopTimeout().Milliseconds())
		case InstanceKill, InstancePause:
			f.Target = random.IntN(instances)
		case StoreCut:
			f.Target = random.IntN(instances)
			f.Mode = linkModes[random.IntN(len(linkModes))]
		case BackendDrain:
			f.Target = random.IntN(backends)
			f.ForMS = int((drainTime + startTime/2).Milliseconds())
		case BackendKill, BackendPause, BackendSlow, BackendBreaks, BackendRepeats, BackendBabbles, BackendMisstates:
			f.Target = random.IntN(backends)
		case BackendCut:
			f.Target = random.IntN(backends)
			f.Mode = linkModes[random.IntN(len(linkModes))]
		case ZoneEvacuation:
			f.Target = random.IntN(zoneCount)
			f.ForMS = int(evacuationTime.Milliseconds())
		}
		s.Faults = append(s.Faults, f)
		s.Faults = append(s.Faults, followUps(random, f, s)...)
	}
	return s
}

const (
	// loopKills is how often an instance that crashes in a loop is killed, each time loopInterval after its last start.
	loopKills    = 6
	loopInterval = 1200 * time.Millisecond
	loopRestart  = 100 * time.Millisecond
	// slowBefore is how long before a stop backends get slow, so that requests wait when it begins.
	slowBefore = 1500 * time.Millisecond
)

// followUps returns the faults that come with one: a killed instance may crash in a loop, and one may be stopped while requests wait for
// slow backends. They wait until a short stop ends if there are many callers.
func followUps(random *rand.Rand, f Fault, s Schedule) (faults []Fault) {
	switch {
	case f.Kind == InstanceKill && random.IntN(4) == 0:
		for i := 1; i <= loopKills; i++ {
			faults = append(faults, Fault{
				AtMS:   f.AtMS + f.ForMS + i*int(loopInterval.Milliseconds()),
				ForMS:  int(loopRestart.Milliseconds()),
				Kind:   InstanceKill,
				Target: f.Target,
			})
		}
	case f.Kind == InstanceStop && (random.IntN(2) == 0 || s.StopMS != 0):
		if s.StopMS != 0 {
			faults = append(faults, Fault{
				AtMS:  f.AtMS - int(slowBefore.Milliseconds()),
				ForMS: int((slowBefore + s.stopTimeout()).Milliseconds()),
				Kind:  CallerBurst,
			})
		}
		for i := range s.Backends {
			faults = append(faults, Fault{
				AtMS:   f.AtMS - int(slowBefore.Milliseconds()),
				ForMS:  int((slowBefore + s.stopTimeout()).Milliseconds()),
				Kind:   BackendSlow,
				Target: i,
			})
		}
	}
	return faults
}

// Check returns a *ScheduleError if the schedule can't be played.
func (s Schedule) Check() error {
	switch {
	case s.Instances < 1 || s.Instances > maxProcesses:
		return &ScheduleError{
			Problem: fmt.Sprintf("%d instances, not 1 to %d", s.Instances, maxProcesses),
		}
	case s.Backends < 2 || s.Backends > maxProcesses:
		return &ScheduleError{
			Problem: fmt.Sprintf("%d backends, not 2 to %d", s.Backends, maxProcesses),
		}
	case s.StopMS < 0:
		return &ScheduleError{
			Problem: fmt.Sprintf("instances have %d ms to stop", s.StopMS),
		}
	case !(s.LateGrants >= 0 && s.LateGrants <= 1):
		return &ScheduleError{
			Problem: fmt.Sprintf("a share of %g of the grants is late, not 0 to 1", s.LateGrants),
		}
	case s.DurationMS < 1000:
		return &ScheduleError{
			Problem: "it lasts less than a second",
		}
	}
	for _, f := range s.Faults {
		known := slices.Contains(kinds, f.Kind)
		if !known || f.AtMS < 0 || f.ForMS < 0 || f.Target < 0 || f.Target >= s.targets(f.Kind) {
			return &ScheduleError{
				Problem: fmt.Sprintf("fault %q at %d ms has an unknown kind, time or target", f.Kind, f.AtMS),
			}
		}
	}
	return nil
}

// targets returns the number of targets of a kind of fault.
func (s Schedule) targets(kind FaultKind) int {
	switch kind {
	case InstanceKill, InstanceStop, InstancePause, StoreCut:
		return s.Instances
	case BackendKill, BackendPause, BackendDrain, BackendCut, BackendSlow, BackendBreaks, BackendRepeats, BackendBabbles, BackendMisstates:
		return s.Backends
	case ZoneEvacuation:
		return zoneCount
	case StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets, StoreOlder, Configuration, CallerBurst:
	}
	return 1
}

// ReadSchedule reads the schedule in the file at path.
func ReadSchedule(path string) (Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, err
	}
	var s Schedule
	if err := json.Unmarshal(text, &s); err != nil {
		return Schedule{}, &ScheduleError{
			Problem: fmt.Sprintf("%s: %v", path, err),
		}
	}
	return s, s.Check()
}

// Write writes the schedule to the file at path.
func (s Schedule) Write(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Without returns the schedule without one of its faults.
func (s Schedule) Without(fault int) Schedule {
	s.Faults = slices.Delete(slices.Clone(s.Faults), fault, fault+1)
	return s
}
