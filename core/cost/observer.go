package cost

import (
	"sort"
	"time"
)

// Observer keeps what one instance learns from the answers to its own requests, for a coordinator that begins without knowledge. The
// zero value is empty.
type Observer struct {
	services map[string]*observedService
}

type observedService struct {
	model  Model
	speeds map[string]*observedSpeed
}

type observedSpeed struct {
	speed       Speed
	incarnation int64
	samples     uint32
	at          time.Duration
}

// Answer is the answer to a request.
type Answer struct {
	Service, Class, Upstream string
	// Incarnation is the start of the upstream.
	Incarnation int64
	Took        time.Duration
}

// ClassEstimate is an estimate of the work of the requests of a class.
type ClassEstimate struct {
	Service, Class  string
	Mean, Deviation time.Duration
	Samples         uint32
}

// SpeedEstimate is an estimate of the time that work takes at an upstream, relative to an average one.
type SpeedEstimate struct {
	Service, Upstream string
	Incarnation       int64
	Factor            float64
	Samples           uint32
}

const (
	// maxSpeeds bounds the upstreams of a service that an observer keeps, and maxListed those that it lists: with 75 instances, a new
	// coordinator gets some 100 kB.
	maxSpeeds = 1024
	maxListed = 32
	// leastSamples is the number of answers before an estimate is listed.
	leastSamples = 3
)

// Observe records an answer that arrived at now.
func (o *Observer) Observe(now time.Duration, answer Answer) {
	if o.services == nil {
		o.services = map[string]*observedService{}
	}
	s := o.services[answer.Service]
	if s == nil {
		s = &observedService{
			speeds: map[string]*observedSpeed{},
		}
		o.services[answer.Service] = s
	}
	u := s.speeds[answer.Upstream]
	if u == nil || u.incarnation != answer.Incarnation {
		if len(s.speeds) >= maxSpeeds {
			s.dropOldest()
		}
		u = &observedSpeed{
			incarnation: answer.Incarnation,
		}
		s.speeds[answer.Upstream] = u
	}
	class := s.model.Class(answer.Class, 0)
	work := time.Duration(float64(answer.Took) / u.speed.Factor())
	u.speed.Observe(class, class.Work.Mean(), answer.Took)
	u.samples++
	u.at = now
	class.Observe(now, 0, 0, work)
}

func (s *observedService) dropOldest() {
	oldest := ""
	for id, u := range s.speeds {
		if oldest == "" || u.at < s.speeds[oldest].at {
			oldest = id
		}
	}
	delete(s.speeds, oldest)
}

// List returns the estimates of the services that wanted accepts: those of classes, and of the upstreams with the most answers.
func (o *Observer) List(wanted func(service string) bool) (classes []ClassEstimate, speeds []SpeedEstimate) {
	for name, s := range o.services {
		if !wanted(name) {
			delete(o.services, name)
			continue
		}
		s.model.Classes(func(class *Class) {
			if class.Samples >= leastSamples && class.Name != "" {
				classes = append(classes, ClassEstimate{
					Service:   name,
					Class:     class.Name,
					Mean:      class.Work.Mean(),
					Deviation: class.Work.Deviation(),
					Samples:   uint32(min(class.Samples, maxWeight)),
				})
			}
		})
		var listed []SpeedEstimate
		for id, u := range s.speeds {
			if u.samples >= leastSamples {
				listed = append(listed, SpeedEstimate{
					Service:     name,
					Upstream:    id,
					Incarnation: u.incarnation,
					Factor:      u.speed.Factor(),
					Samples:     min(u.samples, speedMemory),
				})
			}
		}
		sort.Slice(listed, func(i, j int) bool {
			a, b := listed[i], listed[j]
			return a.Samples > b.Samples || (a.Samples == b.Samples && a.Upstream < b.Upstream)
		})
		speeds = append(speeds, listed[:min(len(listed), maxListed)]...)
	}
	return classes, speeds
}
