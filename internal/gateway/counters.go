package gateway

import (
	"expvar"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminlift/core/cost"
	"cuminlift/core/dispatch"
	"cuminlift/core/workspace"
)

// counters holds the metrics of one instance in expvar form. They are listed in docs/METRICS.md.
type counters struct {
	events     *expvar.Map
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	// costs holds the cost of requests by service and class, as last set by the coordinator.
	costs      map[string]map[string]map[string]int64
	workspaces workspace.Tally
	// slots holds the slots in use by service, as last set by the coordinator, and is empty on other instances.
	slots map[string]int
}

// Range and precision of the latency histograms, in microseconds and digits.
const (
	minLatencyUs      = 100
	maxLatencyUs      = 60_000_000
	significantDigits = 2
)

func newCounters() *counters {
	return &counters{
		events:     new(expvar.Map).Init(),
		histograms: map[string]*hdrhistogram.Histogram{},
	}
}

func (c *counters) count(event string) {
	c.events.Add(event, 1)
}

func (c *counters) recordAnswered(request *call, took time.Duration) {
	c.events.Add("answered", 1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request.workspace != "" {
		c.workspaces.Of(request.workspace).Answered++
	}
	h := c.histograms[request.service]
	if h == nil {
		h = hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits)
		c.histograms[request.service] = h
	}
	if err := h.RecordValue(min(max(took.Microseconds(), minLatencyUs), maxLatencyUs)); err != nil {
		c.events.Add("time-not-recorded", 1)
	}
}

// setCosts replaces what is published of the cost of a service's requests.
func (c *counters) setCosts(service string, pool *dispatch.Pool) {
	classes := map[string]map[string]int64{}
	pool.Costs(func(class *cost.Class) {
		name := class.Name
		if name == "" {
			name = "others"
		}
		classes[name] = map[string]int64{
			"requests":     int64(class.Samples),
			"predicted-ms": class.Predicted.Milliseconds(),
			"observed-ms":  class.Observed.Milliseconds(),
			"error-ms":     class.Error.Milliseconds(),
			"work-ms":      class.Work.Mean().Milliseconds(),
			"work-p99-ms":  class.Work.Quantile(0.99).Milliseconds(),
		}
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.costs, service)
	if len(classes) == 0 {
		return
	}
	if c.costs == nil {
		c.costs = map[string]map[string]map[string]int64{}
	}
	c.costs[service] = classes
}

// setSlots replaces what is published of the slots in use.
func (c *counters) setSlots(slots map[string]int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slots = slots
}

func (c *counters) slotsInUse() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.slots)
}

// requestCosts returns what the coordinator has learned of the cost of requests, by service and class.
func (c *counters) requestCosts() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.costs)
}

// latencies returns quantiles of the response time per service, in microseconds.
func (c *counters) latencies() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	quantiles := map[string]map[string]int64{}
	for service, h := range c.histograms {
		quantiles[service] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return quantiles
}

// recordUnanswered counts a request of a workspace that got no answer of an upstream, by the status it got.
func (c *counters) recordUnanswered(name string, status int) {
	if name == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.workspaces.Of(name)
	switch status {
	case http.StatusTooManyRequests:
		counts.OverQuota++
	case http.StatusServiceUnavailable:
		counts.Refused++
	default:
		counts.Failed++
	}
}

// largestWorkspaces is the number of workspaces with metrics of their own.
const largestWorkspaces = 10

// workspaceCounts returns the counts of the workspaces with the most requests, and the sum of the others.
func (c *counters) workspaceCounts() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	largest, rest := c.workspaces.Largest(largestWorkspaces)
	return map[string]any{
		"largest": largest,
		"rest":    rest,
	}
}
