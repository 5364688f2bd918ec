// Package traffic sends requests at a steady rate, whatever the answers, and measures latency and outcomes.
package traffic

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestKind is one kind of request.
type RequestKind struct {
	Name   string
	Method string
	// Path is a format with one number of the key, as in "/calendar/k%d".
	Path string
	// Keys is the number of keys, at least 1. Skew above 1 makes low numbers hot, as Zipf's law with that exponent.
	Keys uint64
	Skew float64
	// Rate is in requests a second.
	Rate float64
	// IdempotencyKey adds an idempotency key of its own to each request.
	IdempotencyKey bool
}

// Config constructs a run.
type Config struct {
	// Targets are base URLs, used in turn. Pick, if set, chooses instead of them, as a balancer would.
	Targets    []string
	PickTarget func(n int) string
	Kinds      []RequestKind
	Duration   time.Duration
	// Stop ends the sending early when it is closed; answers are waited for. Nil never does.
	Stop <-chan struct{}
	Seed uint64
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in progress; those over it count as skipped.
	MaxInFlight int
}

// Result is what became of one kind.
type Result struct {
	Kind string
	// Latency is of answers with status below 500, in microseconds.
	Latency *hdrhistogram.Histogram
	// Outcomes counts answers by status and outcome.
	Outcomes map[string]int
	Sent     int
	Skipped  int
	// LongestGap is the longest time between two good answers.
	LongestGap time.Duration
	lastGood   time.Time
}

// SuccessCount returns the number of answers with status below 500.
func (r *Result) SuccessCount() int { return int(r.Latency.TotalCount()) }

// Quantile returns a latency quantile, q in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Histograms reach from 1 µs to a minute with three digits.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

type run struct {
	config  Config
	client  *http.Client
	mutex   sync.Mutex
	results map[string]*Result
	slots   chan struct{}
	waiting sync.WaitGroup
}

// Run sends until the duration is over and all answers have come, or ctx ends.
func Run(ctx context.Context, config Config) []*Result {
	if config.MaxInFlight == 0 {
		config.MaxInFlight = 4096
	}
	r := &run{
		config:  config,
		results: map[string]*Result{},
		slots:   make(chan struct{}, config.MaxInFlight),
		client: &http.Client{
			Timeout: config.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 512,
				DisableCompression:  true,
				DialContext: (&net.Dialer{
					Timeout: time.Second,
				}).DialContext,
			},
		},
	}
	defer r.client.CloseIdleConnections()
	var senders sync.WaitGroup
	for i, k := range config.Kinds {
		r.results[k.Name] = &Result{
			Kind:     k.Name,
			Latency:  hdrhistogram.New(lowest, highest, digits),
			Outcomes: map[string]int{},
		}
		senders.Go(func() { r.send(ctx, k, rand.New(rand.NewPCG(config.Seed, uint64(i)))) })
	}
	senders.Wait()
	r.waiting.Wait()
	var results []*Result
	for _, k := range config.Kinds {
		results = append(results, r.results[k.Name])
	}
	return results
}

// send starts requests at random times with the kind's mean rate.
func (r *run) send(ctx context.Context, k RequestKind, random *rand.Rand) {
	var zipf *rand.Zipf
	if k.Skew > 1 {
		zipf = rand.NewZipf(random, k.Skew, 1, k.Keys-1)
	}
	began := time.Now()
	next := began
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / k.Rate * float64(time.Second)))
		if next.Sub(began) > r.config.Duration || ctx.Err() != nil {
			return
		}
		select {
		case <-r.config.Stop:
			return
		case <-time.After(time.Until(next)):
		}
		key := random.Uint64N(k.Keys)
		if zipf != nil {
			key = zipf.Uint64()
		}
		r.start(ctx, k, n, key, next)
	}
}

func (r *run) start(ctx context.Context, k RequestKind, n int, key uint64, due time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.mutex.Lock()
		r.results[k.Name].Skipped++
		r.mutex.Unlock()
		return
	}
	target := r.target(n)
	r.waiting.Go(func() {
		defer func() { <-r.slots }()
		outcome, good := r.one(ctx, k, n, target, key)
		r.note(k, outcome, good, time.Since(due))
	})
}

func (r *run) target(n int) string {
	if r.config.PickTarget != nil {
		return r.config.PickTarget(n)
	}
	return r.config.Targets[n%len(r.config.Targets)]
}

func (r *run) one(ctx context.Context, k RequestKind, n int, target string, key uint64) (outcome string, good bool) {
	var body io.Reader
	if k.Method == http.MethodPost {
		body = strings.NewReader("seat")
	}
	request, err := http.NewRequestWithContext(ctx, k.Method, target+fmt.Sprintf(k.Path, key), body)
	if err != nil {
		return "malformed", false
	}
	if k.IdempotencyKey {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", k.Name, r.config.Seed, n))
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "no-answer " + errorWord(err), false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut", false
	}
	outcome = fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Cuminlift-Outcome"))
	if reason := response.Header.Get("Cuminlift-Reason"); reason != "" {
		outcome += " " + reason
	}
	return outcome, response.StatusCode < http.StatusInternalServerError
}

// errorWord names the innermost error, without addresses.
func errorWord(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

func (r *run) note(k RequestKind, outcome string, good bool, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.results[k.Name]
	result.Sent++
	result.Outcomes[outcome]++
	if !good {
		return
	}
	_ = result.Latency.RecordValue(max(lowest, min(highest, latency.Microseconds())))
	now := time.Now()
	if !result.lastGood.IsZero() {
		result.LongestGap = max(result.LongestGap, now.Sub(result.lastGood))
	}
	result.lastGood = now
}

// PrintResults writes a table of results.
func PrintResults(w io.Writer, results []*Result) {
	for _, r := range results {
		fmt.Fprintf(w, "%-14s sent %6d good %6d p50 %8v p99 %8v p99.9 %8v longest gap %v\n", r.Kind, r.Sent, r.SuccessCount(),
			r.Quantile(50), r.Quantile(99), r.Quantile(99.9), r.LongestGap.Round(time.Millisecond))
		var names []string
		for name := range r.Outcomes {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(w, "    %-40s %6d\n", name, r.Outcomes[name])
		}
	}
}
