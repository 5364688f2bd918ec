package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/core/request"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// serveWithClaim serves a request with an idempotency key. It writes a claim to the table before anything is sent, so
// that a repeat through any instance finds it.
func (d *Daemon) serveWithClaim(ctx context.Context, w http.ResponseWriter, c *call) {
	key := claimPrefix + c.service.name + "/" + c.id
	claim := &schema.Claim{
		Member:  d.self.GetId(),
		Request: d.self.GetId() + "-" + time.Now().Format(time.RFC3339Nano),
		Digest:  c.requestDigest(),
		State:   claimClaimed,
		AtMs:    time.Now().UnixMilli(),
	}
	version, f := d.claim(ctx, w, c, key, claim)
	if f != nil {
		d.refuse(w, c, f)
		return
	}
	if version == 0 {
		return
	}
	a, f := d.routeCall(ctx, c)
	if f != nil {
		if f.executionStatus == request.NotRun {
			claim.State = claimNotRun
			d.claimWriter.finalize(key, version, claim)
		}
		d.refuse(w, c, f)
		return
	}
	d.recordAndForwardResponse(w, c, a, key, version, claim)
}

// claim writes the claim and returns the version of its row, or version 0 if a recorded response was replayed.
func (d *Daemon) claim(ctx context.Context, w http.ResponseWriter, c *call, key string, claim *schema.Claim) (uint64, *refusal) {
	base := uint64(0)
	for range 3 {
		result := d.claimWriter.writeAndWait(ctx, key, base, claim)
		if result.written {
			return base + 1, nil
		}
		if result.err != nil {
			d.resolveInBackground(key, claim)
			return 0, newNotRunRefusal(reasonPlatformUnavailable, 2*time.Second)
		}
		found := &schema.Claim{}
		if err := proto.Unmarshal(result.found.GetValue(), found); err != nil {
			return 0, newNotRunRefusal(reasonPlatformUnavailable, 2*time.Second)
		}
		if found.GetDigest() != claim.GetDigest() {
			f := newNotRunRefusal(reasonIdempotencyKeyReused, time.Minute)
			f.status = http.StatusUnprocessableEntity
			return 0, f
		}
		if found.GetState() == claimDone {
			return 0, d.replayAnswer(w, c, found)
		}
		if found.GetState() == claimClaimed {
			if found = d.awaitClaimEnd(ctx, key); found == nil {
				return 0, newInDoubtRefusal()
			}
			if found.GetState() == claimDone {
				return 0, d.replayAnswer(w, c, found)
			}
			continue
		}
		base = result.found.GetVersion()
	}
	return 0, newNotRunRefusal(reasonPlatformUnavailable, time.Second)
}

// awaitClaimEnd waits up to claimEndTimeout for a claim held by another request to reach a final state. It returns nil
// if it does not.
func (d *Daemon) awaitClaimEnd(ctx context.Context, key string) *schema.Claim {
	ctx, cancel := context.WithTimeout(ctx, claimEndTimeout)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(claimPollPeriod):
		}
		reply, err := d.stateTable.Read(ctx, &schema.ReadRequest{
			Keys: []string{key},
		})
		found := &schema.Claim{}
		if err != nil || len(reply.GetRows()) != 1 || proto.Unmarshal(reply.GetRows()[0].GetValue(), found) != nil {
			continue
		}
		if found.GetState() != claimClaimed {
			return found
		}
	}
}

// newInDoubtRefusal returns the refusal for a repeat of a request whose outcome is not known yet.
func newInDoubtRefusal() *refusal {
	f := newNotRunRefusal(reasonRepeatInDoubt, time.Second)
	f.executionStatus = request.Unknown
	f.status = http.StatusConflict
	return f
}

// replayAnswer answers a repeat with the recorded response, or reports that the first request ran if its response was
// not recorded.
func (d *Daemon) replayAnswer(w http.ResponseWriter, c *call, found *schema.Claim) *refusal {
	d.metrics.Add(metrics.ClaimsReplayed, 1)
	w.Header().Set(headerRequestID, c.id)
	w.Header().Set(headerOutcome, request.Ran.String())
	if !found.GetWhole() {
		w.Header().Set(headerReason, "ran-before-answer-not-kept")
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	w.Header().Set(headerReason, "recorded-answer")
	w.Header().Set("Content-Type", found.GetContentType())
	w.WriteHeader(int(found.GetStatus()))
	_, _ = w.Write(found.GetBody())
	return nil
}

// recordAndForwardResponse records the response in the claim and forwards it.
func (d *Daemon) recordAndForwardResponse(w http.ResponseWriter, c *call, a *upstreamResponse, key string, version uint64, claim *schema.Claim) {
	recorded, err := io.ReadAll(io.LimitReader(a.response.Body, maxRecordedBodyBytes+1))
	claim.State = claimDone
	claim.Status = uint32(a.response.StatusCode)
	claim.ContentType = a.response.Header.Get("Content-Type")
	claim.Whole = err == nil && len(recorded) <= maxRecordedBodyBytes
	if claim.GetWhole() {
		claim.Body = recorded
	}
	d.claimWriter.finalize(key, version, claim)
	unread := a.response.Body
	a.response.Body = readCloser{
		Reader: io.MultiReader(bytes.NewReader(recorded), errorReader{err: err}, unread),
		Closer: unread,
	}
	d.forwardResponse(w, c, a)
}

type readCloser struct {
	io.Reader
	io.Closer
}

// errorReader returns err on every read, or io.EOF if err is nil.
type errorReader struct {
	err error
}

func (r errorReader) Read([]byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return 0, io.EOF
}

// requestDigest returns a digest that distinguishes requests which use the same idempotency key.
func (c *call) requestDigest() string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, c.method+" "+c.uri+"\n")
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil))
}
