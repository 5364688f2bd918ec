package dispatch

import "time"

// budget bounds further attempts over a sliding window.
type budget struct {
	share  float64
	slack  float64
	window time.Duration
	slots  []budgetSlot
}

type budgetSlot struct {
	index           int64
	requests, extra float64
}

// budgetSlots is the number of parts of the window that are counted apart: at most a tenth of it is misjudged.
const budgetSlots = 10

// budgetPart is the part of the allowed figures that one coordinator spends, so that a successor that knows nothing of
// it stays within them too.
const budgetPart = 0.45

func newBudget(config Config) *budget {
	return &budget{
		share:  config.RetryRatio * budgetPart * 2,
		slack:  budgetSlack(config),
		window: config.RetryWindow,
		slots:  make([]budgetSlot, budgetSlots+1),
	}
}

// budgetSlack is the pool's part of the further attempts that are allowed whatever the number of requests.
func budgetSlack(config Config) float64 {
	return config.RetrySlack * budgetPart / float64(max(1, config.Share.Count))
}

func (b *budget) slot(now time.Duration) *budgetSlot {
	index := int64(now / (b.window / budgetSlots))
	s := &b.slots[index%int64(len(b.slots))]
	if s.index != index {
		*s = budgetSlot{
			index: index,
		}
	}
	return s
}

func (b *budget) request(now time.Duration) {
	b.slot(now).requests++
}

// take reports whether another attempt is allowed, and counts it.
func (b *budget) take(now time.Duration) bool {
	current := b.slot(now)
	var requests, extra float64
	for i := range b.slots {
		s := &b.slots[i]
		if current.index-s.index > budgetSlots {
			continue
		}
		requests += s.requests
		extra += s.extra
	}
	if extra+1 > requests*b.share+b.slack {
		return false
	}
	current.extra++
	return true
}
