package cost

import (
	"math"
	"time"
)

const (
	// speedPrior is the number of observations for which an upstream is assumed to have average speed, and speedMemory how many are
	// remembered. The tail of the work makes single observations unreliable.
	speedPrior  = 2
	speedMemory = 24
	// maxStretch bounds a single observation relative to the expectation.
	maxStretch = 3
	// confidence is the number of samples of a class at which its observations count half for the speed of an upstream.
	confidence = 10
	// reportMemory is the weight of a report in the average of an upstream's reports, and reportDecay the time after which a report
	// has lost 63% of its significance. The speed of an upstream changes for some hundred milliseconds at a time.
	reportMemory = 0.02
	reportDecay  = 200 * time.Millisecond
	// minPresent and maxPresent bound the effect of a report.
	minPresent, maxPresent = 0.5, 4
)

// Speed describes how long work takes at one upstream, relative to an upstream of average speed. The zero value is average.
type Speed struct {
	// sum adds up the observed times relative to the expected ones, and weight is the number of observations.
	sum, weight float64
	// report is the last reported time that work takes, relative to the average of the reports, and usual is that average.
	report, usual float64
	reportedAt    time.Duration
}

// Factor returns the time that work takes at the upstream over some dozen requests, 1 for an upstream of average speed.
func (s *Speed) Factor() float64 {
	return (s.sum + speedPrior) / (s.weight + speedPrior)
}

// Unknown reports whether nothing is known of the speed of the upstream.
func (s *Speed) Unknown() bool {
	return s.weight == 0
}

// Observe records that a request of class took a time for which the model expected work on an upstream of average speed.
func (s *Speed) Observe(class *Class, work, took time.Duration) {
	if work <= 0 || took < 0 {
		return
	}
	trust := float64(class.Samples) / float64(class.Samples+confidence)
	// Without the division, the bound would make all upstreams seem faster than the average that they define.
	s.add(min(float64(took)/float64(work), maxStretch)/class.bounded, trust)
}

// Report records an upstream's own report of how long work takes at present, in percent. What it always reports is not relevant,
// since Factor measures that; only a change is.
func (s *Speed) Report(now time.Duration, percent uint32) {
	value := float64(percent) / 100
	if value <= 0 {
		return
	}
	if s.usual == 0 {
		s.usual = value
	}
	s.usual += reportMemory * (value - s.usual)
	s.report = value / s.usual
	s.reportedAt = now
}

// Present returns the time that work takes at the upstream at now, relative to an upstream of average speed. A report counts less the
// older it is.
func (s *Speed) Present(now time.Duration) float64 {
	factor := s.Factor()
	age := now - s.reportedAt
	if s.report == 0 || age > 5*reportDecay {
		return factor
	}
	present := min(max(s.report, minPresent), maxPresent)
	return factor * (1 + (present-1)*math.Exp(-max(age, 0).Seconds()/reportDecay.Seconds()))
}

// Learn adds the estimate of another instance, made from a number of samples.
func (s *Speed) Learn(factor float64, samples uint32) {
	weight := float64(min(samples, speedMemory))
	if factor > 0 {
		s.add(min(factor, maxPresent), weight)
	}
}

func (s *Speed) add(factor, weight float64) {
	if s.weight > speedMemory {
		s.sum *= speedMemory / s.weight
		s.weight = speedMemory
	}
	s.sum += weight * factor
	s.weight += weight
}
