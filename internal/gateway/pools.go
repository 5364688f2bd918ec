package gateway

import (
	"time"

	"cuminlift/core/dispatch"
	"cuminlift/core/roster"
)

// syncedPool is a pool with the view from which its upstreams were last set.
type syncedPool struct {
	*dispatch.Pool
	view     *view
	syncedAt time.Duration
}

// syncInterval is how often a pool's upstreams are set although the view is the same, so that the pool forgets those that have
// left once their last request has ended.
const syncInterval = 500 * time.Millisecond

// sync sets the upstreams of a service if the view has changed. Sorting hundreds of them for each request would take longer than
// all else about it.
func (p *syncedPool) sync(now time.Duration, v *view, service string) {
	if p.view == v && now-p.syncedAt < syncInterval {
		return
	}
	p.view = v
	p.syncedAt = now
	p.SetUpstreams(now, upstreamStates(v.list, service))
}

func poolConfig(settings Settings, share dispatch.Share) dispatch.Config {
	return dispatch.Config{
		Share:       share,
		RetryRatio:  settings.RetryRatio,
		RetrySlack:  settings.RetrySlack,
		RetryWindow: settings.RetryWindow,

		BoundHeldBytes: settings.ReadAhead,
	}
}

func upstreamStates(list roster.Snapshot, service string) []dispatch.UpstreamState {
	var states []dispatch.UpstreamState
	for _, u := range list.Upstreams {
		if u.Service != service {
			continue
		}
		states = append(states, dispatch.UpstreamState{
			ID:            u.ID,
			Address:       u.Address,
			Zone:          u.Zone,
			Incarnation:   u.Incarnation,
			Slots:         u.Slots,
			Usable:        list.Usable(u),
			ColdRemaining: u.ColdRemaining,
		})
	}
	return states
}
