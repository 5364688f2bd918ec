package admission

import "time"

// quantile follows a quantile of a stream of times in constant memory: it steps up by q and down by 1-q of its step.
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

// quantileStep is the relative step of one measurement.
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
