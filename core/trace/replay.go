package trace

import (
	"fmt"
	"time"

	"cuminlift/core/assign"
	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// Difference is a step at which the replayed decisions differ from the recorded ones.
type Difference struct {
	// Line is the sequence number of the trace line.
	Line     uint64
	Instance string
	Service  string
	// Recorded and Replayed are the digests of the decisions.
	Recorded string
	Replayed string
}

// ReplayResult is the result of replaying a trace.
type ReplayResult struct {
	// Steps is the number of inputs that were replayed.
	Steps int
	// Skipped counts inputs of guardians whose first line, which holds the configuration, is missing.
	Skipped     int
	Differences []Difference
	// Grants lists the grants that the replayed guardians sent, in order.
	Grants []SentGrant
}

// SentGrant is a grant that a replayed guardian sent.
type SentGrant struct {
	At       time.Duration
	Instance string
	Grant    *schema.Grant
}

// Run replays the recorded inputs on new guardians and compares their decisions with the recorded digests.
func Run(lines []*schema.TraceLine) *ReplayResult {
	r := &ReplayResult{}
	guardians := map[string]*ownership.Guardian{}
	for _, line := range lines {
		if line.GetInput() == nil {
			continue
		}
		key := line.GetInstance() + " " + line.GetService()
		if line.GetTiming() != nil {
			guardians[key] = newGuardian(line)
		}
		g := guardians[key]
		if g == nil {
			r.Skipped++
			continue
		}
		at := time.Duration(line.GetAtUs()) * time.Microsecond
		actions := g.Step(at, line.GetInput())
		r.Steps++
		r.recordStep(line, at, actions)
	}
	return r
}

// recordStep compares the replayed actions with the recorded digest and collects the grants among them.
func (r *ReplayResult) recordStep(line *schema.TraceLine, at time.Duration, actions []ownership.Action) {
	if digest := Digest(actions); digest != line.GetDigest() {
		r.Differences = append(r.Differences, Difference{
			Line:     line.GetSequence(),
			Instance: line.GetInstance(),
			Service:  line.GetService(),
			Recorded: line.GetDigest(),
			Replayed: digest,
		})
	}
	for _, a := range actions {
		if a.Grant != nil {
			r.Grants = append(r.Grants, SentGrant{
				At:       at,
				Instance: line.GetInstance(),
				Grant:    a.Grant.Grant,
			})
		}
	}
}

// newGuardian returns a guardian configured as recorded in its first trace line.
func newGuardian(line *schema.TraceLine) *ownership.Guardian {
	t := line.GetTiming()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return ownership.NewGuardian(ownership.Config{
		Self:    line.GetSelf(),
		Service: line.GetService(),
		Timing: ownership.Timing{
			HeartbeatInterval: ms(t.GetHeartbeatMs()),
			SuspectTimeout:    ms(t.GetSuspectMs()),
			ConfirmationTTL:   ms(t.GetConfirmMs()),
			PromiseTTL:        ms(t.GetPromiseMs()),
			PollInterval:      ms(t.GetPollMs()),
			MaxDriftPPM:       t.GetDriftPpm(),
		},
		Keyed:              t.GetKeyed(),
		ExtraTakeoverDelay: ms(t.GetExtraMs()),
		Planner: assign.NewPlanner(assign.Config{
			Keyed:      t.GetKeyed(),
			HomeOffset: int(t.GetSpread()),
		}),
	})
}

// String returns the difference as a line of text.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: replay of %s differs for service %s (digest %s, recorded %s)", d.Line, d.Instance, d.Service, d.Replayed, d.Recorded)
}
