package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// evenOwners assigns each upstream an equal range of keys and counts the calls of Owner.
type evenOwners struct {
	upstreams int
	lookups   int
}

const scaleKeys = 1 << 16

func (o *evenOwners) Owner(_ time.Duration, key uint32) (string, bool) {
	o.lookups++
	return fmt.Sprintf("u%02d", int(key)*o.upstreams/scaleKeys), true
}

// replayOverload sends twice the capacity of a keyed service with n upstreams for two seconds. It returns the number of
// owner lookups per request, a measure of work that does not depend on the machine.
func replayOverload(c *qt.C, n int) float64 {
	owners := &evenOwners{
		upstreams: n,
	}
	p := dispatch.NewPool(dispatch.Config{
		RetryWindow: 10 * time.Second,
		Owners:      owners,
	})
	p.SetUpstreams(0, states(n))
	const work = 100 * time.Millisecond
	ends := map[time.Duration][]uint64{}
	id := uint64(0)
	perSecond := 2 * 2 * n * int(time.Second/work)
	served := 0
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		for _, ended := range ends[now] {
			p.End(now, ended, dispatch.Answered, work, nil)
		}
		delete(ends, now)
		for int(now/time.Millisecond)*perSecond/1000 > int(id) {
			id++
			t := ticket(id, now)
			t.Key = uint32(id*7919%scaleKeys) + 1
			p.Submit(now, t)
			for _, d := range p.Decide(now) {
				if d.Upstream != "" {
					served++
					ends[now+work] = append(ends[now+work], d.Ticket.ID)
				}
			}
		}
		for _, d := range p.Decide(now) {
			if d.Upstream != "" {
				served++
				ends[now+work] = append(ends[now+work], d.Ticket.ID)
			}
		}
	}
	c.Check(served > int(id)/3, qt.IsTrue, qt.Commentf("%d of %d served", served, id))
	return float64(owners.lookups) / float64(id)
}

// TestLookupsPerRequestIndependentOfUpstreams covers the overload of a service with many owners. Scanning all waiting
// requests on every event used up the coordinator's CPU share.
func TestLookupsPerRequestIndependentOfUpstreams(t *testing.T) {
	c := qt.New(t)
	few, many := replayOverload(c, 10), replayOverload(c, 90)
	c.Check(many < 1.5*few, qt.IsTrue, qt.Commentf("%.0f owner lookups per request with 10 upstreams, %.0f with 90", few, many))
}

func BenchmarkOverload(b *testing.B) {
	c := qt.New(b)
	for range b.N {
		replayOverload(c, 90)
	}
}
