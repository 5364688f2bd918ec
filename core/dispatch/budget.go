package dispatch

import "time"

// budget limits the number of retries over a sliding window.
type budget struct {
	ratio   float64
	slack   float64
	window  time.Duration
	buckets []budgetBucket
}

type budgetBucket struct {
	index             int64
	requests, retries float64
}

// budgetBuckets is the number of buckets per window. The window advances one bucket at a time, so at most a tenth of it
// is miscounted.
const budgetBuckets = 10

// coordinatorRetryShare is the fraction of the retry budget that one coordinator spends. Its successor does not know
// what has been spent, so both together must stay within the budget. newBudget doubles it for the ratio, because each
// coordinator counts only the requests submitted to itself.
const coordinatorRetryShare = 0.45

func newBudget(config Config) *budget {
	return &budget{
		ratio:   config.RetryRatio * coordinatorRetryShare * 2,
		slack:   retrySlack(config),
		window:  config.RetryWindow,
		buckets: make([]budgetBucket, budgetBuckets+1),
	}
}

// retrySlack returns the pool's share of the retries that are allowed independently of the number of requests.
func retrySlack(config Config) float64 {
	return config.RetrySlack * coordinatorRetryShare / float64(max(1, config.Share.Count))
}

// SetRetryCoverage sets the part of the last window, 0 to 1, of which the pool knows what was sent. The rest of the retries that are
// allowed independently of the number of requests may have been used.
func (p *Pool) SetRetryCoverage(part float64) {
	p.retryCoverage = part
	p.budget.slack = retrySlack(p.config) * part
}

func (b *budget) bucket(now time.Duration) *budgetBucket {
	index := int64(now / (b.window / budgetBuckets))
	entry := &b.buckets[index%int64(len(b.buckets))]
	if entry.index != index {
		*entry = budgetBucket{
			index: index,
		}
	}
	return entry
}

func (b *budget) countRequest(now time.Duration) {
	b.bucket(now).requests++
}

// sum returns what the last window holds.
func (b *budget) sum(now time.Duration) (requests, retries float64) {
	current := b.bucket(now)
	for i := range b.buckets {
		entry := &b.buckets[i]
		if current.index-entry.index > budgetBuckets {
			continue
		}
		requests += entry.requests
		retries += entry.retries
	}
	return requests, retries
}

// take reports whether another retry is allowed, and if so counts it.
func (b *budget) take(now time.Duration) bool {
	requests, retries := b.sum(now)
	if retries+1 > requests*b.ratio+b.slack {
		return false
	}
	b.bucket(now).retries++
	return true
}
