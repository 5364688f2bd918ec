package backend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cuminlift"
	"cuminlift/platform"
)

// HealthPath is the path of the health check.
const HealthPath = "/healthz"

// work is a running request.
type work struct {
	keyed bool
	key   uint32
	// releasedUntil is when the lease ended that a release took away, zero if there was none.
	releasedUntil time.Time
}

// expected answers calls for another backend with status 421.
func (b *Backend) expected(handle http.HandlerFunc) http.HandlerFunc {
	headers := platform.Headers()
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headers.Request); id != "" {
			w.Header().Set(headers.Request, id)
		}
		if id := r.Header.Get(headers.ExpectedUpstream); id != "" && id != b.settings.ID {
			w.Header().Set(headers.NotRun, "1")
			w.Header().Set(headers.Upstream, b.settings.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(w, r)
	}
}

// load writes the header with the load. The caller holds the mutex.
func (b *Backend) load(w http.ResponseWriter) {
	w.Header().Set(platform.Headers().Load, fmt.Sprintf("%d,%d,%d", len(b.work), b.waiting, b.settings.Slots))
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load(w)
	w.Header().Set("Instance-Id", b.settings.ID)
	if b.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maxLateness is how long after its arrival an unanswered grant is carried out at the latest.
const maxLateness = 3 * time.Second

// grant takes a lease on all keys of a range, or on none if one of them was granted under a higher fence.
func (b *Backend) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	grant, err := platform.DecodeGrant(r.Body)
	if err != nil || !b.settings.Keyed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := arrived.Add(grant.Hold)
	if rand.Float64() < b.faults.LateGrants {
		time.AfterFunc(rand.N(maxLateness), func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			if time.Now().Before(until) {
				b.take(grant, until, arrived.UnixNano())
			}
		})
		panic(http.ErrAbortHandler)
	}
	if !b.take(grant, until, 0) {
		w.WriteHeader(http.StatusConflict)
	}
}

// take carries out a grant. arrivedAt is that of the event. The caller holds the mutex.
func (b *Backend) take(grant cuminlift.KeyGrant, until time.Time, arrivedAt int64) (taken bool) {
	if !b.leases.Grant(grant, until) {
		return false
	}
	b.record(Event{
		Kind:  Granted,
		From:  grant.From,
		To:    grant.To,
		Fence: grant.Fence,
		Until: until.UnixNano(),

		ArrivedAt: arrivedAt,
	})
	b.notify()
	return true
}

// release ends the leases on a range, and answers when the requests that run on it have ended.
func (b *Backend) release(w http.ResponseWriter, r *http.Request) {
	grant, err := platform.DecodeGrant(r.Body)
	if err != nil || !b.settings.Keyed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for running := range b.work {
		if running.keyed && running.key >= grant.From && running.key <= grant.To && running.releasedUntil.IsZero() {
			running.releasedUntil = b.leases.Until(running.key)
		}
	}
	b.leases.Release(grant)
	b.record(Event{
		Kind:  Released,
		From:  grant.From,
		To:    grant.To,
		Fence: grant.Fence,
	})
	for b.works(grant.From, grant.To) && r.Context().Err() == nil {
		b.await(r.Context(), time.Now().Add(time.Second))
	}
	b.handoverCount++
	w.Header().Set(platform.HandoverHeader, fmt.Sprintf("%s-%d-%d", b.settings.ID, grant.Fence, b.handoverCount))
}

// works reports whether a request runs on a range. The caller holds the mutex.
func (b *Backend) works(from, to uint32) bool {
	for running := range b.work {
		if running.keyed && running.key >= from && running.key <= to {
			return true
		}
	}
	return false
}

// await releases the mutex until something changes, at most until a time or the end of ctx.
func (b *Backend) await(ctx context.Context, until time.Time) {
	changed := b.changed
	b.mutex.Unlock()
	defer b.mutex.Lock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// run runs a request.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	headers := platform.Headers()
	id := r.Header.Get(headers.Request)
	key, keyErr := strconv.ParseUint(r.Header.Get(headers.Key), 10, 16)
	budget, budgetErr := strconv.Atoi(r.Header.Get(headers.Deadline))
	deadline := time.Now().Add(time.Minute)
	if budgetErr == nil {
		deadline = time.Now().Add(time.Duration(budget) * time.Millisecond)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The caller has left.
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load(w)
	reject := func(status int) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(status)
	}
	if b.waiting >= b.settings.Slots || rand.Float64() < b.faults.Refused {
		reject(http.StatusServiceUnavailable)
		return
	}
	b.waiting++
	for len(b.work) >= b.settings.Slots && r.Context().Err() == nil && time.Now().Before(deadline) {
		b.await(r.Context(), deadline)
	}
	b.waiting--
	switch {
	case id == "":
		reject(http.StatusBadRequest)
		return
	case r.Context().Err() != nil || !time.Now().Before(deadline):
		reject(http.StatusServiceUnavailable)
		return
	case b.settings.Keyed && (keyErr != nil || !time.Now().Before(b.leases.Until(uint32(key)))):
		reject(http.StatusMisdirectedRequest)
		return
	}
	status, broken := b.runInSlot(r.Context(), id, r.Header.Get(headers.Workspace), uint32(key), deadline)
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set(headers.Signature, b.settings.ID)
	answer := Answer(b.settings.ID, id, len(body))
	if broken {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	}
	w.WriteHeader(status)
	if _, err := io.WriteString(w, answer); err != nil || broken {
		panic(http.ErrAbortHandler)
	}
}

// Answer returns the body of the answer of a backend to a request with a body of a size.
func Answer(backend, request string, bodyBytes int) string {
	return fmt.Sprintf("%s ran %s with %d bytes\n", backend, request, bodyBytes)
}

// runInSlot runs a request until its time is over, its caller leaves, or the lease of its key ends, and returns the status.
func (b *Backend) runInSlot(ctx context.Context, id, workspace string, key uint32, deadline time.Time) (status int, broken bool) {
	running := &work{
		keyed: b.settings.Keyed,
		key:   key,
	}
	b.work[running] = true
	event := Event{
		Kind:    Begun,
		Request: id,
		Keyed:   b.settings.Keyed,
		Key:     key,

		Workspace: workspace,
	}
	b.record(event)
	takes, broken := b.serviceTime()
	ends := time.Now().Add(takes)
	status = http.StatusOK
	for status == http.StatusOK && time.Now().Before(ends) && ctx.Err() == nil {
		until := running.releasedUntil
		if until.IsZero() {
			until = b.leases.Until(key)
		}
		switch now := time.Now(); {
		case running.keyed && !now.Before(until):
			status = http.StatusInternalServerError
		case !now.Before(deadline):
			status = http.StatusGatewayTimeout
		default:
			wake := ends
			if running.keyed && until.Before(wake) {
				wake = until
			}
			if deadline.Before(wake) {
				wake = deadline
			}
			b.await(ctx, wake)
		}
	}
	delete(b.work, running)
	status = b.misstate(status)
	event.Kind = Ended
	event.Status = status
	b.record(event)
	b.notify()
	return status, broken
}
