// Package retry decides whether and when a request is tried again. One layer retries: the home of a pool.
package retry

import "time"

const (
	// MaxAttempts bounds the attempts at one request, the first included.
	MaxAttempts = 3
	// DefaultRatio is the part of traffic that may be retries.
	DefaultRatio = 0.1
	// tokensKept bounds the retries that a quiet time saves up.
	tokensKept = 20
)

// Budget bounds extra attempts to a share of the first ones. The zero value allows none.
type Budget struct {
	// Ratio is the number of extra attempts earned by each first one, 0 to 1.
	Ratio  float64
	tokens float64
}

// NewBudget returns a budget that starts with enough for a first failure.
func NewBudget(share float64) *Budget {
	return &Budget{
		Ratio:  share,
		tokens: 1,
	}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.Ratio, tokensKept)
}

// TryWithdraw reports whether an extra attempt is allowed, and counts it.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is exponential with full jitter.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the wait before attempt, which counts from 1 for the first retry. random is in [0, 1).
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	ceiling := b.Base << min(max(attempt-1, 0), 20)
	if ceiling <= 0 || ceiling > b.Cap {
		ceiling = b.Cap
	}
	return time.Duration(random * float64(ceiling))
}
