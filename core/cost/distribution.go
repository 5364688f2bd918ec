// Package cost estimates how much work requests need and how fast upstreams do it. The work of a request is the time that it takes
// on an upstream of average speed. It is kept by class of route, apart from the speed of each upstream, so that requests of 180 ms
// and of 1,000 ms at the same upstreams don't share one average. Times are passed in; nothing is safe for concurrent use.
package cost

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave divides each doubling of the work, so that a quantile is off by at most a tenth.
	bucketsPerOctave = 4
	// bucketCount covers works from minWork to about 65 s.
	bucketCount = 16*bucketsPerOctave + 1
	minWork     = time.Millisecond
	// maxWeight bounds the weight of all observations, so that a change shows after some hundred requests.
	maxWeight = 200
	// memory is the time after which an observation has lost 63% of its weight.
	memory = 60 * time.Second
	// leastForgotten is the time after which old observations lose weight, which is not done for each new one.
	leastForgotten = time.Second
	// leastWeight is what remains of old observations: a class that is rarely used keeps its estimate until it is used again.
	leastWeight = 3
)

// Distribution is a histogram of works that forgets old observations. Its size is fixed.
type Distribution struct {
	weights [bucketCount]float64
	total   float64
	// sum is the weighted sum of the works in seconds.
	sum float64
	// forgottenAt is when old observations last lost weight.
	forgottenAt time.Duration
	// above and aboveSum are the weight and the sum of the works in and above each bucket. changed is the weight that was added since
	// they were computed.
	above, aboveSum [bucketCount + 1]float64
	changed         float64
}

func bucketOf(work time.Duration) int {
	if work <= minWork {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(work)/float64(minWork))+0.5), bucketCount-1)
}

// bucketWorks are the works in the middle of the buckets, in seconds.
var bucketWorks = func() (works [bucketCount]float64) {
	for i := range works {
		works[i] = minWork.Seconds() * math.Exp2(float64(i)/bucketsPerOctave)
	}
	return works
}()

// Add records the work of a request that ended at now.
func (d *Distribution) Add(now, work time.Duration) {
	d.forget(now)
	d.add(work, 1)
}

func (d *Distribution) add(work time.Duration, weight float64) {
	d.weights[bucketOf(work)] += weight
	d.total += weight
	d.sum += weight * work.Seconds()
	d.changed += weight
}

// forget reduces the weight of old observations.
func (d *Distribution) forget(now time.Duration) {
	age := max(now-d.forgottenAt, 0)
	if age < leastForgotten && d.total < maxWeight*(1+maxChanged) {
		return
	}
	d.forgottenAt = now
	factor := max(math.Exp(-age.Seconds()/memory.Seconds()), min(1, leastWeight/d.total))
	factor = min(factor, maxWeight/d.total)
	for i := range d.weights {
		d.weights[i] *= factor
	}
	d.total *= factor
	d.sum *= factor
}

// seedPoints are quantiles of the standard normal distribution with equal weight.
var seedPoints = [...]float64{-1.38, -0.67, -0.21, 0.21, 0.67, 1.38}

// seed adds observations of a total weight with a mean and a standard deviation, distributed log-normally.
func (d *Distribution) seed(mean, deviation time.Duration, weight float64) {
	if mean <= 0 {
		return
	}
	ratio := deviation.Seconds() / mean.Seconds()
	sigma := math.Sqrt(math.Log(1 + ratio*ratio))
	total := 0.0
	for _, point := range seedPoints {
		total += math.Exp(sigma * point)
	}
	scale := mean.Seconds() * float64(len(seedPoints)) / total
	for _, point := range seedPoints {
		d.add(time.Duration(scale*math.Exp(sigma*point)*float64(time.Second)), weight/float64(len(seedPoints)))
	}
}

// Mean returns the mean work.
func (d *Distribution) Mean() time.Duration {
	if d.total == 0 {
		return 0
	}
	return time.Duration(d.sum / d.total * float64(time.Second))
}

// Deviation returns the standard deviation of the work.
func (d *Distribution) Deviation() time.Duration {
	if d.total == 0 {
		return 0
	}
	mean, squares := d.sum/d.total, 0.0
	for i, weight := range d.weights {
		squares += weight * (bucketWorks[i] - mean) * (bucketWorks[i] - mean)
	}
	return time.Duration(math.Sqrt(squares/d.total) * float64(time.Second))
}

// Quantile returns the work that a fraction of the requests does not exceed.
func (d *Distribution) Quantile(fraction float64) time.Duration {
	d.refresh()
	for i := range d.weights {
		if d.above[0]-d.above[i+1] >= fraction*d.above[0] {
			return time.Duration(bucketWorks[i] * float64(time.Second))
		}
	}
	return time.Duration(bucketWorks[bucketCount-1] * float64(time.Second))
}

// Remaining returns how much work is expected to remain of a request of which done is finished. With heavy tails it grows with what
// is done: a request that has exceeded the mean is probably one of the long ones.
func (d *Distribution) Remaining(done time.Duration) time.Duration {
	if done <= 0 {
		return d.Mean()
	}
	d.refresh()
	bucket := min(bucketOf(done)+1, bucketCount)
	// Where hardly any observation is larger, as much again is expected as is done.
	const leastAbove = 0.5
	if d.above[bucket] < leastAbove {
		return done
	}
	return max(0, time.Duration(d.aboveSum[bucket]/d.above[bucket]*float64(time.Second))-done)
}

// boundedShare returns the mean of the works relative to their mean if each counts at most a multiple of it.
func (d *Distribution) boundedShare(multiple float64) float64 {
	d.refresh()
	if d.aboveSum[0] == 0 {
		return 1
	}
	mean := d.aboveSum[0] / d.above[0]
	bucket := bucketOf(time.Duration(multiple * mean * float64(time.Second)))
	return (d.aboveSum[0] - d.aboveSum[bucket] + multiple*mean*d.above[bucket]) / d.aboveSum[0]
}

// maxChanged is the part of the observations that may be new since above was computed.
const maxChanged = 0.02

func (d *Distribution) refresh() {
	if d.changed <= maxChanged*d.total {
		return
	}
	d.changed = 0
	for i := bucketCount - 1; i >= 0; i-- {
		d.above[i] = d.above[i+1] + d.weights[i]
		d.aboveSum[i] = d.aboveSum[i+1] + d.weights[i]*bucketWorks[i]
	}
}
