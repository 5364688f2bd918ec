package gateway

import (
	"math"
	"time"

	"cuminlift/core/cost"
	"cuminlift/schema"
)

// noteCost records how long a request of a service with mixed kinds took, for coordinators and local pools that begin without
// knowledge.
func (t *ticketClient) noteCost(result ticketResult, service string, took time.Duration) {
	if !t.mixedService(service) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.costs.Observe(t.clock.Now(), cost.Answer{
		Service:     service,
		Class:       result.class,
		Upstream:    result.upstream,
		Incarnation: result.incarnation,
		Took:        took,
	})
}

// mixedService reports whether the routes to a service differ in what they need.
func (t *ticketClient) mixedService(service string) bool {
	v := t.view()
	return v.table != nil && v.table.Services[service].Mixed
}

// sendCosts tells a new coordinator what this instance has learned of the cost of requests.
func (t *ticketClient) sendCosts() {
	classes, speeds := t.costs.List(t.mixedService)
	if len(classes) > 0 {
		t.frameConn.Send(costsFrame(classes, speeds))
	}
}

// applyCosts passes on to a new local pool what this instance has learned of the cost of requests.
func (t *ticketClient) applyCosts(pool *syncedPool, service string) {
	classes, speeds := t.costs.List(t.mixedService)
	for _, estimate := range classes {
		if estimate.Service == service {
			pool.LearnClass(estimate)
		}
	}
	for _, estimate := range speeds {
		if estimate.Service == service {
			pool.LearnSpeed(estimate)
		}
	}
}

func costsFrame(classes []cost.ClassEstimate, speeds []cost.SpeedEstimate) *schema.Frame {
	message := &schema.CostEstimates{}
	for _, estimate := range classes {
		message.Classes = append(message.Classes, &schema.ClassCost{
			Service:     estimate.Service,
			RouteClass:  estimate.Class,
			MeanUs:      uint64(estimate.Mean.Microseconds()),
			DeviationUs: uint64(estimate.Deviation.Microseconds()),
			Samples:     estimate.Samples,
		})
	}
	for _, estimate := range speeds {
		message.Upstreams = append(message.Upstreams, &schema.UpstreamSpeed{
			Service:  estimate.Service,
			Upstream: estimate.Upstream,
			Born:     estimate.Incarnation,
			Percent:  uint32(math.Round(100 * estimate.Factor)),
			Samples:  estimate.Samples,
		})
	}
	return &schema.Frame{
		Body: &schema.Frame_CostEstimates{
			CostEstimates: message,
		},
	}
}

// handleCosts handles what an instance has learned of the cost of requests.
func (c *coordinator) handleCosts(message *schema.CostEstimates) {
	for _, estimate := range message.GetClasses() {
		if s := c.services[estimate.GetService()]; s != nil {
			s.pool.LearnClass(cost.ClassEstimate{
				Service:   estimate.GetService(),
				Class:     estimate.GetRouteClass(),
				Mean:      time.Duration(estimate.GetMeanUs()) * time.Microsecond,
				Deviation: time.Duration(estimate.GetDeviationUs()) * time.Microsecond,
				Samples:   estimate.GetSamples(),
			})
		}
	}
	for _, estimate := range message.GetUpstreams() {
		if s := c.services[estimate.GetService()]; s != nil {
			s.pool.LearnSpeed(cost.SpeedEstimate{
				Service:     estimate.GetService(),
				Upstream:    estimate.GetUpstream(),
				Incarnation: estimate.GetBorn(),
				Factor:      float64(estimate.GetPercent()) / 100,
				Samples:     estimate.GetSamples(),
			})
		}
	}
}
