package cost

import (
	"math/bits"
	"time"
)

const (
	// priorShare is the part of its objective that a request is assumed to need before the first observation: operators set
	// objectives to three or four times the usual work.
	priorShare = 0.28
	// priorWeight is the weight of that assumption against one observation each.
	priorWeight = 2
	// defaultWork is assumed for a class without an objective.
	defaultWork = 100 * time.Millisecond
	// maxClasses bounds the classes of a model. Further ones share one.
	maxClasses = 64
)

// Model holds the classes of requests of one service. The zero value is empty.
type Model struct {
	classes map[string]*Class
	// others is the class of all requests whose class has no room.
	others *Class
}

// Class describes the work of the requests of a class.
type Class struct {
	// Name is empty for the class of all requests that have no class of their own.
	Name string
	// Work is the distribution of the work of all requests of the class.
	Work Distribution
	// Samples counts observations.
	Samples uint64
	// Predicted and Observed add up what requests were expected to take when they were sent, and what they took.
	Predicted, Observed time.Duration
	// Error adds up the absolute differences between the two.
	Error time.Duration

	// bounded is the mean of works relative to their mean if each counts at most maxStretch times as much. uneven is true if a size
	// or a key stands out. Both change slowly and are computed for each of refreshSamples samples.
	bounded float64
	uneven  bool

	sizes [sizeCount]ratio
	keys  []keyRatio
}

// Class returns the class with a name. A new one is assumed to need a part of the objective.
func (m *Model) Class(name string, objective time.Duration) *Class {
	if class := m.classes[name]; class != nil {
		return class
	}
	if len(m.classes) >= maxClasses {
		if m.others == nil {
			m.others = newClass("", objective)
		}
		return m.others
	}
	if m.classes == nil {
		m.classes = map[string]*Class{}
	}
	class := newClass(name, objective)
	m.classes[name] = class
	return class
}

// Forget makes room for another class.
func (m *Model) Forget(class *Class) {
	if m.classes[class.Name] == class {
		delete(m.classes, class.Name)
	}
}

func newClass(name string, objective time.Duration) *Class {
	class := &Class{
		Name: name,
	}
	mean := time.Duration(priorShare * float64(objective))
	if mean <= 0 {
		mean = defaultWork
	}
	class.Work.seed(mean, mean, priorWeight)
	class.refresh()
	return class
}

// Learn adds the estimate of another instance, which has seen a number of samples. What it weighs is bounded, so that a wrong
// estimate is soon outweighed.
func (c *Class) Learn(mean, deviation time.Duration, samples uint32) {
	const maxLearned = 20
	c.Work.seed(mean, deviation, float64(min(samples, maxLearned)))
}

// Expect returns the expected work of a request with a key (0 for none) and a body of a size.
func (c *Class) Expect(key uint32, bytes int) time.Duration {
	return time.Duration(float64(c.Work.Mean()) * c.Factor(key, bytes))
}

// Factor returns the work of a request with a key (0 for none) and a body of a size relative to the mean of its class.
func (c *Class) Factor(key uint32, bytes int) float64 {
	if !c.uneven {
		return 1
	}
	factor := c.sizes[sizeOf(bytes)].factor()
	if entry := c.key(key); entry != nil {
		factor *= entry.factor()
	}
	return factor
}

// Observe records the work of a request that ended at now.
func (c *Class) Observe(now time.Duration, key uint32, bytes int, work time.Duration) {
	c.Samples++
	if c.Samples > minSamples {
		share := work.Seconds() / max(c.Work.Mean(), minWork).Seconds()
		size := &c.sizes[sizeOf(bytes)]
		if key != 0 {
			c.countKey(key, share/size.factor())
		}
		size.add(share)
	}
	c.Work.Add(now, work)
	if c.Samples%refreshSamples == 0 {
		c.refresh()
	}
}

// Compare records in what time a request was expected to be answered when it was sent, and the time that it took.
func (c *Class) Compare(predicted, observed time.Duration) {
	c.Predicted += predicted
	c.Observed += observed
	c.Error += (observed - predicted).Abs()
}

// refreshSamples is the number of samples after which slowly changing figures of a class are computed again.
const refreshSamples = 16

func (c *Class) refresh() {
	c.bounded = c.Work.boundedShare(maxStretch)
	c.uneven = false
	for i := range c.sizes {
		c.uneven = c.uneven || c.sizes[i].factor() != 1
	}
	for i := range c.keys {
		c.uneven = c.uneven || c.keys[i].factor() != 1
	}
}

// Classes calls yield with each class, in no particular order.
func (m *Model) Classes(yield func(class *Class)) {
	for _, class := range m.classes {
		yield(class)
	}
	if m.others != nil {
		yield(m.others)
	}
}

const (
	// sizeCount is the number of ranges of body sizes, each eight times as large as the one before.
	sizeCount = 9
	// keyCount is the number of keys that are told apart in each class.
	keyCount = 16
	// minSamples is the number of requests of a class before sizes and keys are compared with its mean.
	minSamples = 20
	// ratioPrior is the number of observations for which a ratio is assumed to be 1, and ratioMemory how many it remembers.
	ratioPrior  = 10
	ratioMemory = 50
	// maxRatio bounds one observation, since the tail of the work says little of a size or a key.
	maxRatio = 5
	// standsOut is the factor above which, or below whose inverse, a size or a key is treated apart from its class.
	standsOut = 1.5
)

func sizeOf(bytes int) int {
	return min(bits.Len(uint(max(bytes, 0)))/3, sizeCount-1)
}

// ratio is the work of some requests relative to that of their class.
type ratio struct {
	weight, sum float64
}

func (r *ratio) add(value float64) {
	if r.weight >= ratioMemory {
		r.sum *= (ratioMemory - 1) / r.weight
		r.weight = ratioMemory - 1
	}
	r.weight++
	r.sum += min(value, maxRatio)
}

// factor returns the ratio if it stands out, or else 1.
func (r *ratio) factor() float64 {
	value := (r.sum + ratioPrior) / (r.weight + ratioPrior)
	if value < standsOut && value > 1/standsOut {
		return 1
	}
	return value
}

// keyRatio is the ratio of one key. hits decides which key is replaced by another one.
type keyRatio struct {
	ratio
	key  uint32
	hits int
}

func (c *Class) key(key uint32) *keyRatio {
	for i := range c.keys {
		if c.keys[i].key == key {
			return &c.keys[i]
		}
	}
	return nil
}

// countKey records an observation of a key. Only keys that are used again and again keep their place among the few that are told
// apart.
func (c *Class) countKey(key uint32, share float64) {
	if entry := c.key(key); entry != nil {
		entry.hits++
		entry.add(share)
		return
	}
	entry := keyRatio{
		key: key,
	}
	entry.add(share)
	if len(c.keys) < keyCount {
		c.keys = append(c.keys, entry)
		return
	}
	least := 0
	for i := range c.keys {
		if c.keys[i].hits < c.keys[least].hits {
			least = i
		}
	}
	if c.keys[least].hits > 0 {
		c.keys[least].hits--
		return
	}
	c.keys[least] = entry
}
