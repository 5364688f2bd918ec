package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cuminlift/internal/standin/loopback"
	"cuminlift/platform"
)

const (
	// callerCount is the number of callers. Each waits for callerPause on average between requests.
	callerCount = 40
	callerPause = 60 * time.Millisecond
	// burstCallers is the number of further callers during a CallerBurst.
	burstCallers = 200
	// burstPoll is the interval at which they look for one.
	burstPoll = 20 * time.Millisecond
	// requestTime is the deadline of a request.
	requestTime = 2 * time.Second
	// patientTime is that of a request of a burst, which waits until a short stop ends.
	patientTime = 6 * time.Second
	// readinessInterval is the time between readiness checks of an instance.
	readinessInterval = 200 * time.Millisecond
	// hotKeys are asked for by half of the requests.
	hotKeys = 40
)

// callers send requests to all instances that are ready.
type callers struct {
	cluster *cluster
	ready   []atomic.Bool
	number  atomic.Int64
	// bursts is the number of CallerBurst faults at this time.
	bursts atomic.Int64
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range c.ready {
		group.Go(func() { c.watch(ctx, i) })
	}
	for i := range callerCount + burstCallers {
		group.Go(func() { c.call(ctx, rand.New(rand.NewPCG(seed, uint64(i))), i >= callerCount) })
	}
	group.Wait()
}

// watch checks the readiness of an instance.
func (c *callers) watch(ctx context.Context, instance int) {
	client := newCaller()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readinessInterval)
		request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+loopback.Address(instanceHost+instance, readyPort)+platform.ReadyPath, nil)
		if err != nil {
			cancel()
			return
		}
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		cancel()
		c.ready[instance].Store(err == nil && response.StatusCode == http.StatusOK)
		time.Sleep(readinessInterval)
	}
}

func newCaller() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: time.Second,
			}).DialContext,
			DisableCompression: true,
		},
	}
}

// call sends one request after another, and only during bursts if inBursts is true. A caller stays on its connection while it is answered.
func (c *callers) call(ctx context.Context, random *rand.Rand, inBursts bool) {
	client := newCaller()
	defer client.CloseIdleConnections()
	instance := random.IntN(len(c.ready))
	for ctx.Err() == nil {
		if inBursts && c.bursts.Load() == 0 {
			client.CloseIdleConnections()
			time.Sleep(burstPoll)
			continue
		}
		if !c.ready[instance].Load() {
			instance = random.IntN(len(c.ready))
			time.Sleep(5 * time.Millisecond)
			if !c.ready[instance].Load() {
				continue
			}
		}
		result := c.send(ctx, client, instance, random, inBursts)
		c.cluster.mutex.Lock()
		c.cluster.history.Results = append(c.cluster.history.Results, result)
		c.cluster.mutex.Unlock()
		pause := time.Duration(random.ExpFloat64() * float64(callerPause))
		if seconds, err := strconv.ParseFloat(result.RetryAfter, 64); err == nil && random.IntN(3) > 0 {
			pause = min(requestTime/3, time.Duration(seconds*float64(time.Second)))
		}
		if result.Outcome != Answered || result.Status != http.StatusOK {
			client.CloseIdleConnections()
			instance = random.IntN(len(c.ready))
		}
		time.Sleep(pause)
	}
}

// send sends one request and waits for its end. A patient one may wait for patientTime.
func (c *callers) send(ctx context.Context, client *http.Client, instance int, random *rand.Rand, patient bool) Result {
	path, deadline := []string{"/read/", "/list/", "/book/", "/order/"}[random.IntN(4)], requestTime
	if patient {
		path, deadline = "/export/", patientTime
	}
	key := random.IntN(platform.KeyCount)
	if random.IntN(2) == 0 {
		key = random.IntN(hotKeys)
	}
	r := Result{
		Request:  fmt.Sprintf("r-%d-%d", c.cluster.schedule.Seed, c.number.Add(1)),
		Instance: instance,
		Unsafe:   path == "/book/" || path == "/order/",
		SentAt:   time.Now().UnixNano(),
	}
	var apiKey string
	if !c.cluster.history.NoWorkspaces {
		r.Workspace, apiKey = drawWorkspace(random)
	}
	limit := deadline
	if random.IntN(30) == 0 {
		limit = time.Duration(5+random.IntN(100)) * time.Millisecond // The caller leaves early.
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body io.Reader = http.NoBody
	method := http.MethodGet
	if r.Unsafe {
		method = http.MethodPost
		text := strings.Repeat("x", random.IntN(500))
		r.BodyBytes = len(text)
		body = strings.NewReader(text)
		if random.IntN(20) == 0 {
			body = &slowBody{
				text: text,
			}
		}
	}
	request, err := http.NewRequestWithContext(callCtx, method, "http://"+loopback.Address(instanceHost+instance, frontPort)+path, body)
	if err != nil {
		r.Outcome = Dropped
		return r
	}
	headers := platform.Headers()
	request.Host = callerHost
	request.Header.Set(headers.Request, r.Request)
	request.Header.Set(headers.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set(headers.Key, strconv.Itoa(key))
	if apiKey != "" {
		request.Header.Set(headers.APIKey, apiKey)
	}
	request.Header.Set(headers.Workspace, "forged")
	response, err := client.Do(request)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	r.EndedAt = time.Now().UnixNano()
	switch {
	case callCtx.Err() != nil:
		r.Outcome = Left
	case err != nil:
		r.Outcome = Dropped
	default:
		r.Outcome = Answered
		r.Status = response.StatusCode
		r.Body = string(text)
		r.RequestID = response.Header.Get(headers.Request)
		r.Signature = response.Header.Get(headers.Signature)
		r.RetryAfter = response.Header.Get(headers.Pause)
	}
	return r
}

// slowBody is read in pieces with pauses.
type slowBody struct {
	text string
}

// slowPiece and slowPause are the size of a piece and the pause before it.
const (
	slowPiece = 100
	slowPause = 50 * time.Millisecond
)

// Read implements io.Reader.
func (s *slowBody) Read(buffer []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	time.Sleep(slowPause)
	n := copy(buffer, s.text[:min(slowPiece, len(s.text))])
	s.text = s.text[n:]
	return n, nil
}
