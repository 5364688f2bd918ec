package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/core/request"
	"cuminlift/internal/mutant"
	"cuminlift/io/caller"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// attempt sends the call to one upstream. It reports true once the caller has received a final response.
func (h *requestHandler) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, result ticketResult) bool {
	sentAt := time.Now()
	// A request that must not be repeated continues after its caller disconnects.
	if !c.state.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	if c.arrivals > 0 {
		h.log.WithFields(c.logFields(result)).Info("request is sent again")
	}
	end := h.ticketClient.stopper.track(c)
	defer end(false)
	response, relay, err := h.send(ctx, r, c, result)
	if errors.Is(err, upstream.ErrNotConfirmed) {
		c.advance(h, request.Refused)
		h.returnUnsent(c, result)
		return false
	}
	c.avoid = result.upstream
	if err != nil {
		h.failAttempt(ctx, c, result, err, sentAt)
		return false
	}
	c.arrivals++
	defer response.Body.Close()
	report := h.parseReport(response.Status, response.Header)
	if response.Evidence.Refusal() {
		state := stateAfter(response.Evidence)
		c.advance(h, state)
		outcome := schema.TicketOutcome_shed
		if response.Status == http.StatusMisdirectedRequest {
			outcome = schema.TicketOutcome_misdirected
			h.ticketClient.denyOwner(result, c.service, c.key)
		}
		h.ticketClient.reportEnd(result, c.service, outcome, time.Since(sentAt), report)
		if state == request.Refused {
			c.refusals++
		}
		h.logAnswer(c, result, response, sentAt).Info("attempt refused")
		if outcome == schema.TicketOutcome_misdirected && c.state.CanAttempt() {
			sleep(ctx, misdirectedBackoff)
		}
		return false
	}
	return h.handleResponse(ctx, w, c, result, response, sentAt, report, relay, end)
}

func (h *requestHandler) failAttempt(ctx context.Context, c *call, result ticketResult, err error, sentAt time.Time) {
	state := failedState(err)
	c.advance(h, state)
	if state == request.Lost {
		c.arrivals++
	} else {
		c.unsent++
	}
	var relayed *relayError
	outcome := schema.TicketOutcome_unreachable
	switch {
	case ctx.Err() != nil:
		outcome = schema.TicketOutcome_abandoned
	case errors.As(err, &relayed):
		outcome = relayed.Outcome
	case state == request.Lost:
		outcome = h.brokenOutcome(ctx, c, result)
	}
	if outcome == schema.TicketOutcome_unreachable && result.local && h.paths.allLost(c.service) {
		outcome = schema.TicketOutcome_abandoned // Neither this instance nor the relay can tell whether the upstream has ended.
	}
	h.ticketClient.reportEnd(result, c.service, outcome, time.Since(sentAt), nil)
	h.logFailedAttempt(c, result, sentAt, err.Error(), 0)
}

// brokenOutcome returns the outcome of an attempt whose connection broke, which tells whether the upstream has ended. One that is
// alive may reset connections, for example while it is full.
func (h *requestHandler) brokenOutcome(ctx context.Context, c *call, result ticketResult) schema.TicketOutcome {
	checkedAt := time.Now()
	listening := h.upstreamClient.Check(ctx, result.address, crashCheckTimeout)
	if listening == upstream.Listens {
		h.paths.reached(c.service, result.upstream)
	} else if ctx.Err() == nil {
		h.paths.failed(c.service, result.upstream, time.Since(checkedAt))
	}
	outcome := schema.TicketOutcome_lost
	crashed := listening == upstream.Refused
	if crashed {
		outcome = schema.TicketOutcome_crashed
	}
	h.log.WithFields(logrus.Fields{
		"request":  c.requestID,
		"content":  formatFingerprint(c.identity.Content),
		"caller":   formatFingerprint(c.identity.Caller),
		"upstream": result.upstream,
		"born":     result.incarnation,
		"crashed":  crashed,
	}).Info("connection broke under a request")
	return outcome
}

// handleResponse forwards a response to the caller, or reports false to leave the call to another attempt. relay names the instance
// through which it came, empty for none. end records the end of the attempt before its slot may go to another request.
func (h *requestHandler) handleResponse(ctx context.Context, w http.ResponseWriter, c *call, result ticketResult, response *upstream.Response, sentAt time.Time, report *dispatch.Report, relay string, end func(answered bool)) bool {
	if response.Status < http.StatusInternalServerError {
		h.ticketClient.noteCost(result, c.service, time.Since(sentAt))
	}
	if !response.BodyBuffered {
		h.ticketClient.reportHead(result, c.service, time.Since(sentAt), report)
	}
	reserved := h.buffers.reserve(response.Length)
	defer h.buffers.release(reserved)
	buffered, complete, err := readBody(response, reserved)
	if err == nil && !complete {
		var more int64
		buffered, complete, more, err = h.buffers.readFollowed(w, response, buffered)
		defer h.buffers.budget.Release(caller.ReadAhead, more)
	}
	took := time.Since(sentAt)
	signed := response.Header.Get(h.config.Headers.Signature) != ""
	success := response.Status >= 200 && response.Status < 300
	switch {
	case err != nil || (success && !signed):
		c.advance(h, request.Lost)
		outcome := schema.TicketOutcome_lost
		if err != nil && ctx.Err() == nil && relay == "" {
			outcome = h.brokenOutcome(ctx, c, result)
		}
		h.ticketClient.reportEnd(result, c.service, outcome, took, report)
		problem := "response is not signed"
		if err != nil {
			problem = incompleteProblem(err)
		}
		h.logFailedAttempt(c, result, sentAt, problem, response.Status)
		return false
	case !response.Evidence.MayPassOn(!c.state.Idempotent) && !mutant.Is(mutant.StatusTrusted):
		c.advance(h, stateAfter(response.Evidence))
		h.ticketClient.reportEnd(result, c.service, schema.TicketOutcome_erred, took, report)
		h.counters.count("withheld")
		h.logAnswer(c, result, response, sentAt).WithField("signed", signed).Warn("upstream's status promises what nothing proves")
		return false
	case response.Status >= 500:
		h.ticketClient.reportEnd(result, c.service, schema.TicketOutcome_erred, took, report)
		h.logFailedAttempt(c, result, sentAt, "upstream responded with an error", response.Status)
		if c.state.Idempotent && c.arrivals < c.route.Attempts && time.Until(c.deadline) > took && response.Status != http.StatusGatewayTimeout {
			c.advance(h, request.Lost)
			return false
		}
	default:
		if complete {
			end(true)
			h.ticketClient.reportEnd(result, c.service, schema.TicketOutcome_answered, took, report)
		} else {
			defer func() {
				end(true)
				h.ticketClient.reportEnd(result, c.service, schema.TicketOutcome_answered, time.Since(sentAt), report)
			}()
		}
	}
	c.advance(h, request.Answered)
	h.counters.recordAnswered(c, time.Since(c.receivedAt))
	h.writeResponse(w, c, response, buffered, complete)
	return true
}

// logAnswer returns a log entry with what an answer shows about whether the request ran.
func (h *requestHandler) logAnswer(c *call, result ticketResult, response *upstream.Response, sentAt time.Time) *logrus.Entry {
	return h.log.WithFields(c.logFields(result)).WithFields(logrus.Fields{
		"took":           time.Since(sentAt),
		"at-most-once":   !c.state.Idempotent,
		"status":         response.Status,
		"proof":          string(response.Evidence.Proof()),
		"marked":         response.Evidence.Marked,
		"other-upstream": response.Evidence.OtherUpstream,
		"identified":     response.Evidence.Identified,
		"reused":         response.Evidence.Reused,
	})
}

// incompleteProblem describes a response of which only a part came, because of err.
func incompleteProblem(err error) string { return "response is incomplete: " + err.Error() }

func (h *requestHandler) logFailedAttempt(c *call, result ticketResult, sentAt time.Time, problem string, status int) {
	h.log.WithFields(c.logFields(result)).WithFields(logrus.Fields{
		"status":  status,
		"took":    time.Since(sentAt),
		"problem": problem,
	}).Info("attempt failed")
}

// logFields returns the fields that identify an attempt in the log.
func (c *call) logFields(result ticketResult) logrus.Fields {
	fields := logrus.Fields{
		"request":  c.requestID,
		"upstream": result.upstream,
		"local":    result.local,
	}
	if c.key > 0 {
		fields["key"] = c.key - 1
	}
	return fields
}
