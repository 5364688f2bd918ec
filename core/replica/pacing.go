package replica

import "time"

// These decisions answer the load on the store while there is no coordinator that reads it for all: hundreds of instances read
// for themselves. Without pacing they make more than a thousand calls a second.

const (
	// readsPerSecond is the number of reads a second that all instances together should make of one table, or to find out whether
	// the store works.
	readsPerSecond = 250
	// maxReadPause bounds the pause, so that a change is in force in time: the tightest limit for that is two seconds.
	maxReadPause = 800 * time.Millisecond
	// probesPerSecond is the number of probes of the store a second that all instances together should make. One of them that
	// succeeds is enough to know that it works.
	probesPerSecond = 20
)

// ReadPause returns the pause of an instance between its own reads of a table whose rows change all the time, and before the first
// one after the coordinator was lost. instances is the number of instances that may read it.
func ReadPause(instances int) time.Duration {
	return min(spread(instances, readsPerSecond), maxReadPause)
}

// ProbePause returns the pause of an instance between probes of the store for a coordinator that can't reach it.
func ProbePause(instances int) time.Duration {
	return spread(instances, probesPerSecond)
}

// spread returns the interval at which each of a number of instances may act for all to act at most perSecond times a second.
func spread(instances, perSecond int) time.Duration {
	return time.Duration(max(0, instances)) * time.Second / time.Duration(perSecond)
}
