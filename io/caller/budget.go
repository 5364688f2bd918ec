package caller

import "sync"

// Use is what memory of a Budget is for.
type Use int

const (
	// Bodies are callers' request bodies. They may take half of the budget, and are refused when less than a quarter of it is free.
	Bodies Use = iota
	// ReadAhead is what is held for requests that are not first in line. It is refused when less than an eighth of the budget is free.
	ReadAhead
	// Responses are the buffered parts of upstreams' responses. They may take all.
	Responses
)

// Budget bounds the memory of a process for data that callers have not read or that is read for them. Near its end, it refuses uses in
// the order of their values.
type Budget struct {
	mutex       sync.Mutex
	total, used int64
	bodies      int64
}

// NewBudget returns a Budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{
		total: total,
	}
}

// Reserve reserves n bytes and reports whether it did. A body that exceeds the share of all bodies is accepted if it is the only one,
// because it could never be read otherwise.
func (b *Budget) Reserve(use Use, n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fits := true
	switch use {
	case Bodies:
		fits = b.bodies+n <= b.total/2 && b.used+n <= b.total-b.total/4
		fits = fits || (b.bodies == 0 && b.used <= b.total/2)
	case ReadAhead:
		fits = b.used+n <= b.total-b.total/8
	case Responses:
		fits = b.used+n <= b.total
	}
	if fits {
		b.take(use, n)
	}
	return fits
}

func (b *Budget) take(use Use, n int64) {
	b.used += n
	if use == Bodies {
		b.bodies += n
	}
}

// mayReadAhead reports whether read-ahead may go on.
func (b *Budget) mayReadAhead() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used <= b.total-b.total/8
}

// Take reserves n bytes for a use that can't do without them.
func (b *Budget) Take(use Use, n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.take(use, n)
}

// Release returns n bytes that were reserved or taken for a use.
func (b *Budget) Release(use Use, n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= n
	if use == Bodies {
		b.bodies -= n
	}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}
