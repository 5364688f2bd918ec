package dispatch

import "time"

// RetryCoverage tracks how much of the last window of the retry budget a new coordinator knows. What an instance has sent before it was
// restarted, or while it can't be reached, is not known and may have used its part of the budget.
type RetryCoverage struct {
	window, startedAt time.Duration
	// knownSince holds the times since which all that an instance has sent is known.
	knownSince map[string]time.Duration
}

// NewRetryCoverage returns the coverage of a coordinator that starts at now and knows nothing.
func NewRetryCoverage(now, window time.Duration) *RetryCoverage {
	return &RetryCoverage{
		window:     window,
		startedAt:  now,
		knownSince: map[string]time.Duration{},
	}
}

// Told records that an instance has told all that it has sent in the time covered. It reports false if that was recorded before.
func (r *RetryCoverage) Told(now time.Duration, instance string, covered time.Duration) bool {
	if _, told := r.knownSince[instance]; told {
		return false
	}
	r.knownSince[instance] = now - min(covered, r.window)
	return true
}

// Part returns the known part of the last window, 0 to 1, summed over the instances.
func (r *RetryCoverage) Part(now time.Duration, instances []string) float64 {
	if len(instances) == 0 || r.window <= 0 {
		return 0
	}
	known := time.Duration(0)
	for _, name := range instances {
		since, told := r.knownSince[name]
		if !told {
			since = r.startedAt
		}
		known += min(now-since, r.window)
	}
	return float64(known) / float64(r.window) / float64(len(instances))
}
