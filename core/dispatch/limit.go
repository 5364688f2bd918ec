package dispatch

import "time"

// limiter spaces the requests to an upstream that has named a limit, so that all instances together stay within it. The zero value
// limits nothing.
type limiter struct {
	// rate is the limit in requests per second from all instances, 0 for none, and namedAt is when it was last named.
	rate    float64
	namedAt time.Duration
	// credit is the number of requests that could be sent at creditAt.
	credit   float64
	creditAt time.Duration
}

const (
	// limitBurst is the time for which unused credit is kept.
	limitBurst = 500 * time.Millisecond
	// noShareWait is the expected wait for an upstream of whose limit this pool has no share: about as long as there is no
	// coordinator.
	noShareWait = time.Second
)

// set changes the limit. A new one starts without credit: another pool may have just used it up.
func (l *limiter) set(now time.Duration, rate float64) {
	if l.rate == 0 {
		l.credit, l.creditAt = 0, now
	}
	l.rate = rate
	l.namedAt = now
}

// available returns the number of requests that may be sent at now, of a share in requests per second.
func (l *limiter) available(now time.Duration, share float64) float64 {
	return min(l.credit+(now-l.creditAt).Seconds()*share, max(1, share*limitBurst.Seconds()))
}

func (l *limiter) spend(now time.Duration, share float64) {
	l.credit = max(0, l.available(now, share)-1)
	l.creditAt = now
}

// limitShare returns the part of the upstream's limit that this pool may use, in requests per second. Without a coordinator, as
// many instances share the limit as it has requests per second. limited is false if there is no limit.
func (u *upstream) limitShare(p *Pool) (share float64, limited bool) {
	if u.limiter.rate == 0 {
		return 0, false
	}
	if p.config.Share.unrestricted() {
		return u.limiter.rate, true
	}
	instances := min(p.config.Share.Count, max(1, int(u.limiter.rate)))
	if !p.config.Share.mayUse(u.state.ID, instances) {
		return 0, true
	}
	return u.limiter.rate / float64(instances), true
}

// creditTolerance absorbs rounding errors of credit.
const creditTolerance = 1e-6

func (u *upstream) limitAllows(now time.Duration, p *Pool) bool {
	share, limited := u.limitShare(p)
	return !limited || (share > 0 && u.limiter.available(now, share) >= 1-creditTolerance)
}

// throughput returns the number of requests per second that the pool can send to the upstream, 0 if it has no share of a limit.
func (u *upstream) throughput(p *Pool, latency time.Duration) float64 {
	rate := u.concurrency(p) / latency.Seconds()
	if share, limited := u.limitShare(p); limited {
		rate = min(rate, share)
	}
	return rate
}

// waitFor returns how long n requests take at a rate in requests per second.
func waitFor(n int, rate float64) time.Duration {
	if rate <= 0 {
		return noShareWait
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// applyLimit applies what an answer to a request that was sent at sent says of the limit.
func (u *upstream) applyLimit(now, sent time.Duration, said Limit) {
	limit, known := nextLimit(u.limiter.rate, u.limiter.namedAt, sent, said)
	if known && (limit != 0 || u.limiter.rate != 0) {
		u.limiter.set(now, limit)
	}
}

// ApplyNotice applies what an upstream has said to an instance, as far as the pool has not heard from it since.
func (p *Pool) ApplyNotice(now time.Duration, instance string, notice Notice) {
	u := p.upstreams[notice.Upstream]
	if u == nil || u.state.Incarnation != notice.Incarnation {
		return
	}
	p.setPause(now, u, instance, notice.Pause)
	if now-notice.Age < u.limiter.namedAt {
		return
	}
	if notice.Limit != u.limiter.rate {
		u.limiter.set(now, notice.Limit)
	}
}
