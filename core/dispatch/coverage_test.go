package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// retryModel plays instances whose requests all fail, while instances are restarted and coordinators are lost.
type retryModel struct {
	random *rand.Rand
	config dispatch.Config
	// forgetful takes all that was sent before for known.
	forgetful   bool
	now         time.Duration
	instances   []*modelInstance
	names       []string
	coordinator *dispatch.Pool
	coverage    *dispatch.RetryCoverage
	// startAt is when the next coordinator starts, and endAt when it is lost.
	startAt, endAt time.Duration
	nextID         uint64
	// requests and retries count by step.
	requests, retries []float64
}

type modelInstance struct {
	history   dispatch.RetryHistory
	pool      *dispatch.Pool
	startedAt time.Duration
	restarted bool
	// downUntil is when a killed instance is back, and connectAt when it is connected to the coordinator.
	downUntil, connectAt time.Duration
	connected            bool
}

const modelStep = 50 * time.Millisecond

func (m *retryModel) start(i *modelInstance, count int) {
	i.history = dispatch.NewRetryHistory(m.config.RetryWindow)
	config := m.config
	config.Share = dispatch.Share{
		Count: count,
	}
	i.pool = dispatch.NewPool(config)
	i.pool.SetUpstreams(m.now, states(20))
	i.startedAt = m.now
}

func (m *retryModel) known(i *modelInstance) time.Duration {
	if m.forgetful || !i.restarted {
		return m.config.RetryWindow
	}
	return min(m.now-i.startedAt, m.config.RetryWindow)
}

// change starts and ends coordinators, and kills instances.
func (m *retryModel) change() {
	if m.coordinator != nil && m.now >= m.endAt {
		m.coordinator = nil
		m.startAt = m.now + time.Duration(m.random.IntN(3000))*time.Millisecond
		share := m.random.Float64()
		for _, i := range m.instances {
			i.connected = false
			if m.random.Float64() < share*share {
				i.downUntil = m.now + time.Duration(m.random.IntN(1000))*time.Millisecond
				i.restarted = true
			}
		}
	}
	if m.coordinator == nil && m.now >= m.startAt {
		m.coordinator = dispatch.NewPool(m.config)
		m.coordinator.SetUpstreams(m.now, states(20))
		m.coverage = dispatch.NewRetryCoverage(m.now, m.config.RetryWindow)
		m.endAt = m.now + time.Duration(200+m.random.IntN(3000))*time.Millisecond
		for _, i := range m.instances {
			i.connectAt = m.now + time.Duration(m.random.IntN(600))*time.Millisecond
		}
	}
	for _, i := range m.instances {
		if i.downUntil != 0 && m.now >= i.downUntil {
			i.downUntil = 0
			m.start(i, len(m.instances))
		}
	}
}

// attempt submits an attempt and reports whether it was sent.
func (m *retryModel) attempt(p *dispatch.Pool, attempt int) bool {
	m.nextID++
	t := ticket(m.nextID, m.now)
	t.Attempt = attempt
	t.Idempotent = true
	p.Submit(m.now, t)
	sent := false
	for _, d := range p.Decide(m.now) {
		sent = sent || d.Upstream != ""
		p.End(m.now, d.Ticket.ID, dispatch.Answered, time.Millisecond, nil)
	}
	return sent
}

func (m *retryModel) step(rate float64) {
	m.change()
	requests, retries := 0.0, 0.0
	for n, i := range m.instances {
		if i.downUntil != 0 {
			continue
		}
		if m.coordinator != nil && !i.connected && m.now >= i.connectAt {
			i.connected = true
			if m.coverage.Told(m.now, m.names[n], m.known(i)) {
				m.coordinator.AddRetryUsage(m.now, i.history.Usage(m.now))
			}
		}
		pool := i.pool
		if i.connected {
			pool = m.coordinator
			part := m.coverage.Part(m.now, m.names)
			if m.forgetful {
				part = 1
			}
			pool.SetRetryCoverage(part)
		} else {
			pool.SetRetryCoverage(float64(m.known(i)) / float64(m.config.RetryWindow))
		}
		for due := rate * modelStep.Seconds() / float64(len(m.instances)); m.random.Float64() < due; due-- {
			requests++
			i.history.Request(m.now)
			for attempt := range 3 {
				if !m.attempt(pool, attempt) {
					break
				}
				if attempt > 0 {
					retries++
					i.history.Retry(m.now)
				}
			}
		}
	}
	m.requests, m.retries = append(m.requests, requests), append(m.retries, retries)
	m.now += modelStep
}

// excess returns how many retries beyond the budget the worst window has.
func (m *retryModel) excess() float64 {
	sum := func(values []float64, from, until int) float64 {
		total := 0.0
		for i := max(from, 0); i < min(until, len(values)); i++ {
			total += values[i]
		}
		return total
	}
	window := int(m.config.RetryWindow / modelStep)
	worst := 0.0
	for from := range m.retries {
		requests := max(sum(m.requests, from, from+window), sum(m.requests, from-window, from), sum(m.requests, from-window/2, from+window/2))
		worst = max(worst, sum(m.retries, from, from+window)-m.config.RetryRatio*requests-m.config.RetrySlack)
	}
	return worst
}

func playRetries(seed uint64, forgetful bool) float64 {
	m := &retryModel{
		random: rand.New(rand.NewPCG(seed, 48)),
		config: dispatch.Config{
			RetryRatio:  0.2,
			RetrySlack:  170,
			RetryWindow: 10 * time.Second,
		},
		forgetful: forgetful,
	}
	count := 2 + m.random.IntN(60)
	rate := 50 + 300*m.random.Float64()
	for n := range count {
		i := &modelInstance{}
		m.start(i, count)
		m.instances = append(m.instances, i)
		m.names = append(m.names, fmt.Sprint("n", n))
	}
	for m.now < 25*time.Second {
		m.step(rate)
	}
	return m.excess()
}

// Changes of the coordinator together with restarts of many instances give out the retry budget again (BUDGET).
func TestRetryBudgetHoldsInRandomHistories(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(40) {
		c.Check(playRetries(seed, false) <= 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	found := 0
	for seed := range uint64(20) {
		if playRetries(seed, true) > 0 {
			found++
		}
	}
	c.Check(found > 0, qt.IsTrue, qt.Commentf("no history shows what forgetting costs"))
	t.Logf("20 histories with forgetting: %d exceed the budget", found)
}
