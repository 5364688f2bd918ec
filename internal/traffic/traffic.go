// Package traffic is an open-loop load generator: it sends requests at a given mean rate, independently of the
// responses, and measures latency and outcomes.
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

// RequestKind describes one kind of request and its rate.
type RequestKind struct {
	Name   string
	Method string
	// Path is a format string with one verb for the key's number, as in "/calendar/k%d".
	Path string
	// Keys is the number of keys, at least 1. Above 1, Skew is the exponent of a Zipf distribution in which low numbers
	// are hot; otherwise keys are drawn uniformly.
	Keys uint64
	Skew float64
	// Rate is the mean rate in requests per second.
	Rate float64
	// IdempotencyKey adds a unique Idempotency-Key header to each request.
	IdempotencyKey bool
}

// Config configures a run.
type Config struct {
	// Targets are base URLs that are used in turn. PickTarget, if set, returns the base URL of the nth request instead,
	// like a load balancer.
	Targets    []string
	PickTarget func(n int) string
	Kinds      []RequestKind
	Duration   time.Duration
	// Stop ends the generation of requests when it is closed; responses are still awaited. It may be nil.
	Stop <-chan struct{}
	Seed uint64
	// Timeout is the time limit of one request.
	Timeout time.Duration
	// MaxInFlight limits the requests in progress, 0 for 4096. Requests beyond it are not sent and count as skipped.
	MaxInFlight int
}

// Result holds the statistics of one kind of request.
type Result struct {
	Kind string
	// Latency holds the latencies of responses with status below 500 in microseconds, from the time when the request was
	// due.
	Latency *hdrhistogram.Histogram
	// Outcomes counts responses by status, outcome and reason, and failed requests by error.
	Outcomes map[string]int
	Sent     int
	Skipped  int
	// LongestGap is the longest time between two responses with status below 500.
	LongestGap  time.Duration
	lastSuccess time.Time
}

// SuccessCount returns the number of responses with status below 500.
func (r *Result) SuccessCount() int { return int(r.Latency.TotalCount()) }

// Quantile returns the latency quantile q, in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Histograms record latencies from 1 µs to one minute with three significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

type runner struct {
	config   Config
	client   *http.Client
	mutex    sync.Mutex
	results  map[string]*Result
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// Run sends requests for the configured duration, or until Stop is closed or ctx ends, and waits for the responses. The
// results are in the order of config.Kinds.
func Run(ctx context.Context, config Config) []*Result {
	if config.MaxInFlight == 0 {
		config.MaxInFlight = 4096
	}
	r := &runner{
		config:   config,
		results:  map[string]*Result{},
		inFlight: make(chan struct{}, config.MaxInFlight),
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
			Latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
			Outcomes: map[string]int{},
		}
		senders.Go(func() { r.generate(ctx, k, rand.New(rand.NewPCG(config.Seed, uint64(i)))) })
	}
	senders.Wait()
	r.pending.Wait()
	var results []*Result
	for _, k := range config.Kinds {
		results = append(results, r.results[k.Name])
	}
	return results
}

// generate dispatches requests as a Poisson process with the kind's mean rate.
func (r *runner) generate(ctx context.Context, k RequestKind, random *rand.Rand) {
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
		r.dispatch(ctx, k, n, key, next)
	}
}

// dispatch sends a request without waiting for its response, or counts it as skipped if MaxInFlight are in progress.
func (r *runner) dispatch(ctx context.Context, k RequestKind, n int, key uint64, due time.Time) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.mutex.Lock()
		r.results[k.Name].Skipped++
		r.mutex.Unlock()
		return
	}
	target := r.target(n)
	r.pending.Go(func() {
		defer func() { <-r.inFlight }()
		outcome, success := r.sendRequest(ctx, k, n, target, key)
		r.recordResult(k, outcome, success, time.Since(due))
	})
}

func (r *runner) target(n int) string {
	if r.config.PickTarget != nil {
		return r.config.PickTarget(n)
	}
	return r.config.Targets[n%len(r.config.Targets)]
}

// sendRequest sends a request, reads the whole response and returns the outcome under which it is counted.
func (r *runner) sendRequest(ctx context.Context, k RequestKind, n int, target string, key uint64) (outcome string, success bool) {
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
		return "no-answer " + rootCause(err), false
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

// rootCause returns the text of the innermost wrapped error. The outer ones name addresses, which would count equal
// failures as different outcomes.
func rootCause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

func (r *runner) recordResult(k RequestKind, outcome string, success bool, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.results[k.Name]
	result.Sent++
	result.Outcomes[outcome]++
	if !success {
		return
	}
	_ = result.Latency.RecordValue(max(minLatencyMicros, min(maxLatencyMicros, latency.Microseconds())))
	now := time.Now()
	if !result.lastSuccess.IsZero() {
		result.LongestGap = max(result.LongestGap, now.Sub(result.lastSuccess))
	}
	result.lastSuccess = now
}

// PrintResults writes the statistics and outcome counts of each kind of request.
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
