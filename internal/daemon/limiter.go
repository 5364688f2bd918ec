package daemon

import (
	"sync/atomic"

	"cuminlift/core/admission"
)

// classLimiter bounds the calls in progress on this instance by class, so that no class exhausts the memory and
// connections that a more urgent one needs.
type classLimiter struct {
	inFlight [admission.NumClasses]atomic.Int64
}

// Limits on the calls in progress on one instance, by class.
const (
	maxOrdersInFlight    = 8192
	maxChecksInFlight    = 8192
	maxDownloadsInFlight = 1024
)

func newClassLimiter() *classLimiter {
	return &classLimiter{}
}

func classLimit(c admission.Class) int64 {
	switch c {
	case admission.Order:
		return maxOrdersInFlight
	case admission.Check:
		return maxChecksInFlight
	case admission.Download, admission.NumClasses:
	}
	return maxDownloadsInFlight
}

func (g *classLimiter) acquire(c admission.Class) bool {
	if g.inFlight[c].Add(1) > classLimit(c) {
		g.inFlight[c].Add(-1)
		return false
	}
	return true
}

func (g *classLimiter) release(c admission.Class) {
	g.inFlight[c].Add(-1)
}
