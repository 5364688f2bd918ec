package daemon

import (
	"sync/atomic"

	"cuminlift/core/admission"
)

// gate bounds the calls in progress on this instance, so that no class takes the memory and the connections that a
// more urgent one needs.
type gate struct {
	inside [admission.NumClasses]atomic.Int64
}

// Calls in progress on one instance, by class.
const (
	maxOrders    = 8192
	maxChecks    = 8192
	maxDownloads = 1024
)

func newGate() *gate {
	return &gate{}
}

func gateLimit(c admission.Class) int64 {
	switch c {
	case admission.Order:
		return maxOrders
	case admission.Check:
		return maxChecks
	case admission.Download, admission.NumClasses:
	}
	return maxDownloads
}

func (g *gate) enter(c admission.Class) bool {
	if g.inside[c].Add(1) > gateLimit(c) {
		g.inside[c].Add(-1)
		return false
	}
	return true
}

func (g *gate) leave(c admission.Class) {
	g.inside[c].Add(-1)
}
