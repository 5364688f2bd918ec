package dispatch

import "cuminlift/core/cost"

// LearnClass adds what an instance has learned of the work of a class of requests. A pool that has just taken over begins with that
// instead of a part of the objective.
func (p *Pool) LearnClass(estimate cost.ClassEstimate) {
	p.kinds.model.Class(estimate.Class, 0).Learn(estimate.Mean, estimate.Deviation, estimate.Samples)
}

// LearnSpeed adds what an instance has learned of the speed of an upstream. An estimate of another start of it is ignored.
func (p *Pool) LearnSpeed(estimate cost.SpeedEstimate) {
	u := p.upstreams[estimate.Upstream]
	if u == nil || u.state.Incarnation != estimate.Incarnation {
		return
	}
	u.speed.Learn(estimate.Factor, estimate.Samples)
	u.backlog.valid = false
}
