// Package quota limits how many requests of each workspace are sent, over all instances. The coordinator counts in a Ledger. An
// instance without a coordinator uses its Shares. Each instance keeps its Usage for the next coordinator.
//
// In any Window, at most (rate x Window + burst) x (1 + tolerance) + slack requests of a workspace may be sent. A bucket of a given
// capacity that is refilled at the rate sends at most rate x Window + capacity.
package quota

import (
	"math"
	"time"
)

const (
	// Window is the span in which the requests of a workspace are limited, with a tolerance and a slack.
	Window    = 5 * time.Second
	tolerance = 0.1
	slack     = 20
	// Of the tolerance (a tenth) and the slack (20 requests), half is added to the burst of a bucket, so that random arrivals below the
	// rate are not refused. The rest covers a change of coordinator.
	allowance     = 250 * time.Millisecond
	slackCapacity = 10
	// sharedAllowance and sharedSlack bound the sum of the capacities of all shares, of which each is at least one request. Shares
	// start empty, and need no reserve for a change of coordinator.
	sharedAllowance = 450 * time.Millisecond
	sharedSlack     = 15
	// creditTolerance absorbs rounding errors.
	creditTolerance = 1e-6
)

// Limits returns the quota of a workspace in requests per second and requests. limited is false if it has none.
type Limits func(workspace string) (rate, burst float64, limited bool)

// bound returns the largest number of requests in a Window.
func bound(rate, burst float64) float64 {
	return (rate*Window.Seconds()+burst)*(1+tolerance) + slack
}

func capacity(rate, burst float64) float64 {
	return burst + rate*allowance.Seconds() + slackCapacity
}

// holders returns how many of count instances share a quota without a coordinator. Each must be able to save up for one request.
func holders(rate, burst float64, count int) int {
	return min(max(1, count), int(burst+rate*sharedAllowance.Seconds()+sharedSlack))
}

// bucket holds the requests that may be sent. Reserved requests are taken off when they are sent, so that those that waited don't
// come on top of later ones.
type bucket struct {
	level, reserved float64
	at              time.Duration
	// owed is the number of refused requests that are expected to come back after owedAt, and refused that of all so far.
	owed    float64
	owedAt  time.Duration
	refused uint64
	// sent counts the requests of the last Window.
	sent counts
}

// refill brings the level up to date. now must not be before the last call.
func (b *bucket) refill(now time.Duration, rate, capacity float64) {
	b.level = min(capacity, b.level+max(0, now-b.at).Seconds()*rate)
	b.at = now
}

// reserve reserves a request, or returns when there will be room for it. The bucket must be up to date.
func (b *bucket) reserve(now time.Duration, rate float64) (wait time.Duration, ok bool) {
	if b.level-b.reserved >= 1-creditTolerance {
		b.reserved++
		return 0, true
	}
	return b.nextRoom(now, rate), false
}

// nextRoom returns after which time a refused request may be sent. Requests refused at the same time get different times, one for
// each request that the rate allows, within a Window.
func (b *bucket) nextRoom(now time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return Window
	}
	b.owed = max(0, b.owed-max(0, now-b.owedAt).Seconds()*rate)
	b.owedAt = now
	seconds := (1 + b.reserved - b.level + b.owed) / rate
	b.refused++
	if limit := Window.Seconds(); seconds > limit {
		// More are refused than there will be room for. The fractions of the multiples of the golden ratio are spread evenly.
		_, fraction := math.Modf(float64(b.refused) * math.Phi)
		seconds = limit * (1 + fraction) / 2
	} else {
		b.owed++
	}
	return time.Duration(seconds * float64(time.Second))
}

func (b *bucket) send(now time.Duration) {
	b.sent.advance(now)
	b.sent.add(0, 1)
	b.level--
	b.reserved = max(0, b.reserved-1)
}

func (b *bucket) cancel() {
	b.reserved = max(0, b.reserved-1)
}
