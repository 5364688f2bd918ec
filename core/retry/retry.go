// Package retry decides whether and when a request is retried. Only one layer retries: the home instance
// of a pool.
package retry

import "time"

const (
	// MaxAttempts bounds the attempts per request, including the first.
	MaxAttempts = 3
	// DefaultRatio is the default ratio of retries to requests.
	DefaultRatio = 0.1
	// maxTokens bounds the retries that accumulate while there are no failures.
	maxTokens = 20
)

// Budget is a token bucket that limits retries to a ratio of first attempts. The zero value allows none.
type Budget struct {
	// Ratio is the number of tokens that a first attempt deposits, from 0 to 1.
	Ratio  float64
	tokens float64
}

// NewBudget returns a budget with one token, so that a first failure can be retried.
func NewBudget(ratio float64) *Budget {
	return &Budget{
		Ratio:  ratio,
		tokens: 1,
	}
}

// Deposit adds the tokens of a first attempt.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.Ratio, maxTokens)
}

// TryWithdraw takes the token for a retry. It reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is exponential backoff with full jitter.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the delay before a retry. attempt is 1 for the first retry, and random is in [0, 1).
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	ceiling := b.Base << min(max(attempt-1, 0), 20)
	if ceiling <= 0 || ceiling > b.Cap {
		ceiling = b.Cap
	}
	return time.Duration(random * float64(ceiling))
}
