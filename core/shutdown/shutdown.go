// Package shutdown decides which requests a stopping instance still passes on. Times are passed in; nothing is safe for concurrent use.
package shutdown

import (
	"time"

	"cuminlift/core/cost"
)

const (
	// usualQuantile is the fraction of answers that takes at most what Longest returns, atMostOnceQuantile that for requests whose
	// callers can't repeat one that was cut off.
	usualQuantile      = 0.99
	atMostOnceQuantile = 0.999
	// margin is the multiple of Longest that is left for an answer. It covers the width of a bucket of the distribution.
	margin = 1.25
)

// Request tells apart requests that are answered after different times.
type Request struct {
	// Service is that which the request is for, and Class that of its route.
	Service, Class string
	// Objective is the time within which it should be answered.
	Objective time.Duration
	// AtMostOnce requests must not run twice.
	AtMostOnce bool
}

// Durations keeps how long upstreams take to answer. The zero value is empty. What it keeps of a service is bounded.
type Durations struct {
	services map[string]*cost.Model
	running  map[uint64]attempt
	lastID   uint64
}

// attempt is a request that was passed on and is not answered yet.
type attempt struct {
	request Request
	sent    time.Duration
}

// Begin records that a request is passed on at now. The ID that it returns is that for End.
func (d *Durations) Begin(now time.Duration, request Request) (id uint64) {
	if d.running == nil {
		d.running = map[uint64]attempt{}
	}
	d.lastID++
	d.running[d.lastID] = attempt{
		request: request,
		sent:    now,
	}
	return d.lastID
}

// End records that a request has ended at now, and how long it took if it was answered. Further calls for it have no effect.
func (d *Durations) End(now time.Duration, id uint64, answered bool) {
	a, found := d.running[id]
	if !found {
		return
	}
	delete(d.running, id)
	if answered {
		class := d.class(a.request)
		class.Work.Add(now, now-a.sent)
		class.Samples++
	}
}

// Longest returns the time within which nearly all requests like this one are answered. Before the first answer, it follows from the
// objective and from those that run at now: as much again is expected as is done.
func (d *Durations) Longest(now time.Duration, request Request) time.Duration {
	class, quantile := d.class(request), usualQuantile
	if request.AtMostOnce {
		quantile = atMostOnceQuantile
	}
	longest := class.Work.Quantile(quantile)
	unknown := class.Samples == 0
	if !unknown && !request.AtMostOnce {
		return longest
	}
	for _, a := range d.running {
		if a.request.Service != request.Service || a.request.Class != request.Class {
			continue
		}
		age := now - a.sent
		if unknown {
			age *= 2
		}
		longest = max(longest, age)
	}
	return longest
}

func (d *Durations) class(request Request) *cost.Class {
	if d.services == nil {
		d.services = map[string]*cost.Model{}
	}
	model := d.services[request.Service]
	if model == nil {
		model = &cost.Model{}
		d.services[request.Service] = model
	}
	return model.Class(request.Class, request.Objective)
}

// Retain forgets the services that wanted does not accept.
func (d *Durations) Retain(wanted func(service string) bool) {
	for service := range d.services {
		if !wanted(service) {
			delete(d.services, service)
		}
	}
}

// Plan is the end of an instance that stops.
type Plan struct {
	// End is when the instance cuts off what is not answered.
	End time.Duration
	// LastWait is the time before End in which nothing is passed on, however short it is.
	LastWait time.Duration
}

// LatestSend returns the latest time at which a request that takes at most longest may be passed on.
func (p Plan) LatestSend(longest time.Duration) time.Duration {
	return p.End - max(p.LastWait, time.Duration(margin*float64(longest)))
}
