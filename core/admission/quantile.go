package admission

import "time"

// quantile estimates a quantile of a stream of durations in constant memory. Each sample above the estimate raises it by
// q of a step, and each other sample lowers it by 1-q of a step.
type quantile struct {
	q     float64
	value float64
	count int
}

func newQuantile(q float64) *quantile {
	return &quantile{
		q: q,
	}
}

// quantileStep is the step of one sample relative to the estimate.
const quantileStep = 0.05

func (e *quantile) add(d time.Duration) {
	x := float64(d)
	e.count++
	if e.count == 1 {
		e.value = 2 * x
		return
	}
	step := max(e.value, 1) * quantileStep
	if x > e.value {
		e.value += step * e.q
		return
	}
	e.value -= step * (1 - e.q)
}

func (e *quantile) get() time.Duration {
	return time.Duration(e.value)
}
