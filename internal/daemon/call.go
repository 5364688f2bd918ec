package daemon

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/request"
	"cuminlift/schema"
)

// Headers between callers, instances and upstreams.
const (
	headerRequest    = "Cuminlift-Request"
	headerOutcome    = "Cuminlift-Outcome"
	headerReason     = "Cuminlift-Reason"
	headerKey        = "Cuminlift-Key"
	headerHash       = "Cuminlift-Hash"
	headerDeadline   = "Cuminlift-Deadline-Ms"
	headerFence      = "Cuminlift-Fence"
	headerClass      = "Cuminlift-Class"
	headerZone       = "Cuminlift-Zone"
	headerService    = "Cuminlift-Service"
	headerRefused    = "Cuminlift-Refused-By"
	headerRetryAfter = "Retry-After"
	headerRetryMs    = "Cuminlift-Retry-After-Ms"
	headerSoft       = "Cuminlift-Soft"
	headerIdempotent = "Cuminlift-Idempotent"
	headerRepeatKey  = "Idempotency-Key"
	headerRepeatKeyX = "X-Idempotency-Key"
)

// call is one request on its way.
type call struct {
	id         string
	service    *service
	class      admission.Class
	idempotent bool
	// soft calls are refused where another zone may answer sooner.
	soft bool
	// hash is of the key, 0 for a service without keys.
	hash     uint64
	method   string
	uri      string
	header   http.Header
	body     []byte
	deadline time.Time
	// repeatKey is the caller's idempotency key, empty for none.
	repeatKey string
}

// refusal is the final word on a call that has no answer of an upstream.
type refusal struct {
	status     int
	knowledge  request.Knowledge
	reason     string
	retryAfter time.Duration
	// elsewhere is true where another home may do better.
	elsewhere bool
}

// Reasons of refusals beside those of admission.
const (
	reasonNotHome       = "not-home"
	reasonNoOwner       = "no-owner"
	reasonNotOwner      = "not-owner"
	reasonNoHome        = "no-home"
	reasonDeadline      = "deadline"
	reasonLost          = "answer-lost"
	reasonShed          = "upstream-shed"
	reasonUnreachable   = "upstream-unreachable"
	reasonHopLost       = "home-lost"
	reasonConfiguration = "no-configuration"
	reasonNoService     = "no-such-service"
	reasonStopping      = "stopping"
	reasonBusy          = "instance-busy"
	reasonBody          = "body-unreadable"
	reasonBodySize      = "body-too-large"
	reasonClaimUnknown  = "platform-unavailable"
	reasonRepeat        = "repeat-in-doubt"
	reasonOtherRequest  = "idempotency-key-reused"
	reasonBadDeadline   = "bad-deadline"
)

func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{
		status:     http.StatusServiceUnavailable,
		knowledge:  request.NotRun,
		reason:     reason,
		retryAfter: retryAfter,
	}
}

// refused makes the refusal of a request that may have been tried.
func refused(r *request.Request, reason string, retryAfter time.Duration) *refusal {
	f := notRun(reason, retryAfter)
	f.knowledge = r.Knowledge()
	if f.knowledge != request.NotRun {
		f.status = http.StatusBadGateway
	}
	if reason == reasonDeadline {
		f.status = http.StatusGatewayTimeout
	}
	return f
}

// write answers with the refusal, and tells what is known and when to come back.
func (f *refusal) write(w http.ResponseWriter, by string) {
	after := max(f.retryAfter, time.Millisecond)
	seconds := int64((after + time.Second - 1) / time.Second)
	h := w.Header()
	h.Set(headerOutcome, f.knowledge.String())
	h.Set(headerReason, f.reason)
	h.Set(headerRefused, by)
	h.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	h.Set(headerRetryMs, strconv.FormatInt(after.Milliseconds(), 10))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	fmt.Fprintf(w, "{\"outcome\":%q,\"reason\":%q,\"retry-after-ms\":%d}\n", f.knowledge, f.reason, after.Milliseconds())
}

// readRefusal returns the refusal that a home answered with, or nil for an answer of an upstream.
func readRefusal(response *http.Response) *refusal {
	if response.Header.Get(headerRefused) == "" {
		return nil
	}
	f := &refusal{
		status:    response.StatusCode,
		knowledge: request.Unknown,
		reason:    response.Header.Get(headerReason),
	}
	if response.Header.Get(headerOutcome) == request.NotRun.String() {
		f.knowledge = request.NotRun
	}
	ms, err := strconv.ParseInt(response.Header.Get(headerRetryMs), 10, 64)
	if err == nil {
		f.retryAfter = time.Duration(ms) * time.Millisecond
	}
	f.elsewhere = f.knowledge == request.NotRun
	return f
}

// remaining returns the milliseconds until the deadline, at least 1.
func (c *call) remaining() int64 {
	return max(1, time.Until(c.deadline).Milliseconds())
}

// parseClass returns the class called name, and the last one for a name that is none.
func parseClass(name string) admission.Class {
	for c := admission.Order; c < admission.NumClasses; c++ {
		if c.String() == name {
			return c
		}
	}
	return admission.Download
}

// spec returns the service's entry in the estate.
func (c *call) spec() *schema.Service {
	return c.service.treatment()
}
