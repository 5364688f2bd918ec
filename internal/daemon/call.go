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

// Headers exchanged between callers, instances and upstreams.
const (
	headerRequestID       = "Cuminlift-Request"
	headerOutcome         = "Cuminlift-Outcome"
	headerReason          = "Cuminlift-Reason"
	headerKey             = "Cuminlift-Key"
	headerHash            = "Cuminlift-Hash"
	headerDeadline        = "Cuminlift-Deadline-Ms"
	headerFence           = "Cuminlift-Fence"
	headerClass           = "Cuminlift-Class"
	headerZone            = "Cuminlift-Zone"
	headerService         = "Cuminlift-Service"
	headerRefusedBy       = "Cuminlift-Refused-By"
	headerRetryAfter      = "Retry-After"
	headerRetryAfterMs    = "Cuminlift-Retry-After-Ms"
	headerSoft            = "Cuminlift-Soft"
	headerIdempotent      = "Cuminlift-Idempotent"
	headerIdempotencyKey  = "Idempotency-Key"
	headerXIdempotencyKey = "X-Idempotency-Key"
)

// call is one caller's request while it is routed and forwarded.
type call struct {
	id         string
	service    *service
	class      admission.Class
	idempotent bool
	// soft makes a home refuse the call instead of queueing it where another zone may answer sooner.
	soft bool
	// hash is the hash of the call's key, 0 for a service without keys.
	hash     uint64
	method   string
	uri      string
	header   http.Header
	body     []byte
	deadline time.Time
	// idempotencyKey is the caller's idempotency key, empty if none was sent.
	idempotencyKey string
}

// refusal is the response to a call for which no upstream response is forwarded.
type refusal struct {
	status          int
	executionStatus request.ExecutionStatus
	reason          string
	retryAfter      time.Duration
	// retryElsewhere is true if another home may be able to serve the call.
	retryElsewhere bool
}

// Reasons for refusals, in addition to those of package admission.
const (
	reasonNotHome              = "not-home"
	reasonNoOwner              = "no-owner"
	reasonNotOwner             = "not-owner"
	reasonNoHome               = "no-home"
	reasonDeadline             = "deadline"
	reasonAnswerLost           = "answer-lost"
	reasonUpstreamShed         = "upstream-shed"
	reasonUpstreamUnreachable  = "upstream-unreachable"
	reasonHomeLost             = "home-lost"
	reasonNoConfiguration      = "no-configuration"
	reasonNoSuchService        = "no-such-service"
	reasonStopping             = "stopping"
	reasonInstanceBusy         = "instance-busy"
	reasonBodyUnreadable       = "body-unreadable"
	reasonBodyTooLarge         = "body-too-large"
	reasonPlatformUnavailable  = "platform-unavailable"
	reasonRepeatInDoubt        = "repeat-in-doubt"
	reasonIdempotencyKeyReused = "idempotency-key-reused"
	reasonBadDeadline          = "bad-deadline"
)

func newNotRunRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{
		status:          http.StatusServiceUnavailable,
		executionStatus: request.NotRun,
		reason:          reason,
		retryAfter:      retryAfter,
	}
}

// newRefusal returns the refusal of a request that may already have been sent to an upstream.
func newRefusal(r *request.Request, reason string, retryAfter time.Duration) *refusal {
	f := newNotRunRefusal(reason, retryAfter)
	f.executionStatus = r.ExecutionStatus()
	if f.executionStatus != request.NotRun {
		f.status = http.StatusBadGateway
	}
	if reason == reasonDeadline {
		f.status = http.StatusGatewayTimeout
	}
	return f
}

// write sends the refusal, with what is known about execution and when the caller may retry.
func (f *refusal) write(w http.ResponseWriter, member string) {
	delay := max(f.retryAfter, time.Millisecond)
	seconds := int64((delay + time.Second - 1) / time.Second)
	h := w.Header()
	h.Set(headerOutcome, f.executionStatus.String())
	h.Set(headerReason, f.reason)
	h.Set(headerRefusedBy, member)
	h.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	h.Set(headerRetryAfterMs, strconv.FormatInt(delay.Milliseconds(), 10))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	fmt.Fprintf(w, "{\"outcome\":%q,\"reason\":%q,\"retry-after-ms\":%d}\n", f.executionStatus, f.reason, delay.Milliseconds())
}

// parseRefusal returns the refusal in a home's response, or nil if the response is an upstream's.
func parseRefusal(response *http.Response) *refusal {
	if response.Header.Get(headerRefusedBy) == "" {
		return nil
	}
	f := &refusal{
		status:          response.StatusCode,
		executionStatus: request.Unknown,
		reason:          response.Header.Get(headerReason),
	}
	if response.Header.Get(headerOutcome) == request.NotRun.String() {
		f.executionStatus = request.NotRun
	}
	ms, err := strconv.ParseInt(response.Header.Get(headerRetryAfterMs), 10, 64)
	if err == nil {
		f.retryAfter = time.Duration(ms) * time.Millisecond
	}
	f.retryElsewhere = f.executionStatus == request.NotRun
	return f
}

// remainingMs returns the milliseconds until the deadline, at least 1.
func (c *call) remainingMs() int64 {
	return max(1, time.Until(c.deadline).Milliseconds())
}

// parseClass returns the class with the given name, or Download if there is none.
func parseClass(name string) admission.Class {
	for c := admission.Order; c < admission.NumClasses; c++ {
		if c.String() == name {
			return c
		}
	}
	return admission.Download
}

// spec returns the service's entry in the active estate.
func (c *call) spec() *schema.Service {
	return c.service.currentSpec()
}
