package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/configuration"
	"cuminlift/core/estate"
	"cuminlift/io/platform"
	"cuminlift/schema"
)

// maxOperatorBody bounds the body of an operator's request, in bytes.
const maxOperatorBody = 2 << 20

// operatorTimeout bounds the handling of one operator's request.
const operatorTimeout = 10 * time.Second

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", d.getStatus)
	mux.HandleFunc("GET /estate", d.getEstate)
	mux.HandleFunc("POST /change", d.postChange)
	mux.HandleFunc("GET /owner", d.getOwner)
	mux.HandleFunc("GET /audit", d.getAudit)
	mux.HandleFunc("POST /forget", d.postForget)
	mux.Handle("GET /metrics", expvar.Handler())
	return http.TimeoutHandler(mux, operatorTimeout, "request timed out on the instance: check its log and try again\n")
}

func writeReply(w http.ResponseWriter, status int, message proto.Message) {
	text, err := protojson.MarshalOptions{
		EmitUnpopulated: true,
	}.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// operatorName returns the common name in the operator's certificate.
func operatorName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "unknown"
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

func (d *Daemon) postChange(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOperatorBody))
	request := &schema.ChangeRequest{}
	if err == nil {
		err = protojson.Unmarshal(body, request)
	}
	if err != nil {
		writeReply(w, http.StatusBadRequest, &schema.ChangeReply{
			Error: fmt.Sprintf("cannot decode request (%v): use a client of the same version", err),
		})
		return
	}
	result := d.applyChange(r.Context(), request, operatorName(r))
	status := http.StatusOK
	if result.GetError() != "" {
		status = http.StatusConflict
	}
	writeReply(w, status, result)
}

// applyChange performs an operator's change. The change is accepted once its record is in the table.
func (d *Daemon) applyChange(ctx context.Context, request *schema.ChangeRequest, author string) *schema.ChangeReply {
	current, err := d.readConfiguration(ctx)
	if err != nil {
		return failedChange(err, false)
	}
	next, changes, err := d.prepareChange(ctx, current, request, author)
	if err != nil {
		return failedChange(err, false)
	}
	result := &schema.ChangeReply{
		Version: next.GetVersion(),
		Changes: changes,
	}
	if request.GetPlan() {
		return result
	}
	if err := d.commitChange(ctx, current, next); err != nil {
		var unknown *UnknownOutcomeError
		return failedChange(err, errors.As(err, &unknown))
	}
	d.trace.recordOutcome(&schema.Outcome{
		Kind:  "accepted",
		Fence: next.GetVersion(),
	})
	return result
}

func failedChange(err error, unknown bool) *schema.ChangeReply {
	return &schema.ChangeReply{
		Error:   err.Error(),
		Unknown: unknown,
	}
}

// UnknownOutcomeError reports a change for which it could not be determined whether it was written.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of writing configuration version %d is unknown (%v): wait until the platform is reachable, then compare with \"cuminlift get\"", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

func (d *Daemon) readConfiguration(ctx context.Context) (*schema.Configuration, error) {
	result, err := d.stateTable.Read(ctx, &schema.ReadRequest{
		Keys: []string{configurationKey},
	})
	if err != nil {
		return nil, err
	}
	record := &schema.Configuration{}
	if len(result.GetRows()) != 1 || result.GetRows()[0].GetVersion() == 0 {
		return nil, nil
	}
	row := result.GetRows()[0]
	if err := proto.Unmarshal(row.GetValue(), record); err != nil {
		return nil, &platform.MalformedError{
			Operation: "read of the configuration",
			Cause:     err,
		}
	}
	record.Version = row.GetVersion()
	return record, nil
}

// prepareChange validates the change, stores its text unless only a plan is requested, and returns the next record with
// the list of differences.
func (d *Daemon) prepareChange(ctx context.Context, current *schema.Configuration, request *schema.ChangeRequest, author string) (*schema.Configuration, []string, error) {
	change := configuration.Change{
		Base:   request.GetBase(),
		Author: author,
		Reason: request.GetReason(),
		AtMs:   time.Now().UnixMilli(),
		Out:    request.GetOut(),
		In:     request.GetIn(),
	}
	if request.GetOut() != nil {
		changes, err := d.checkOut(request)
		if err != nil {
			return nil, nil, err
		}
		next, err := configuration.Apply(current, change)
		return next, changes, err
	}
	if request.GetIn() != nil {
		next, err := configuration.Apply(current, change)
		return next, []string{"- out " + request.GetIn().GetKind() + " " + request.GetIn().GetName()}, err
	}
	return d.prepareTextChange(ctx, current, request, change)
}

func (d *Daemon) prepareTextChange(ctx context.Context, current *schema.Configuration, request *schema.ChangeRequest, change configuration.Change) (*schema.Configuration, []string, error) {
	text := []byte(request.GetText())
	parsed, err := estate.Parse("estate", text)
	if err != nil {
		return nil, nil, err
	}
	change.Digest = Digest(text)
	next, err := configuration.Apply(current, change)
	if err != nil {
		return nil, nil, err
	}
	old := &schema.Estate{}
	if c := d.current.Load(); c != nil {
		old = c.estate
	}
	changes := estate.Diff(old, parsed)
	if request.GetPlan() {
		return next, changes, nil
	}
	return next, changes, d.objects.Put(ctx, objectPrefix+change.Digest, text)
}

// commitChange writes the record if current is still the newest version. If the reply is lost, it reads the record back
// to determine the outcome.
func (d *Daemon) commitChange(ctx context.Context, current, next *schema.Configuration) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	record, err := proto.Marshal(&schema.AuditRecord{
		AtMs:    next.GetAtMs(),
		Author:  next.GetAuthor(),
		Subject: configurationKey,
		From:    fmt.Sprint(current.GetVersion()),
		To:      fmt.Sprint(next.GetVersion()),
		Reason:  next.GetReason(),
		Result:  "accepted",
	})
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	result, err := d.stateTable.Transact(ctx, &schema.Transaction{
		Checks: []*schema.Row{{
			Key:     configurationKey,
			Version: current.GetVersion(),
		}},
		Puts: []*schema.Row{
			{
				Key:   configurationKey,
				Value: value,
			},
			{
				Key:   fmt.Sprintf("%s%s/%012d", auditPrefix, configurationKey, next.GetVersion()),
				Value: record,
			},
		},
	})
	if err != nil {
		return d.resolveChange(ctx, next, err)
	}
	if result.GetCommitted() {
		return nil
	}
	winner, err := d.readConfiguration(ctx)
	if err != nil {
		return err
	}
	return &configuration.VersionConflictError{
		Have:   winner.GetVersion(),
		Want:   current.GetVersion(),
		Author: winner.GetAuthor(),
		Reason: winner.GetReason(),
	}
}

// resolveChange determines whether a write whose reply was lost took effect.
func (d *Daemon) resolveChange(ctx context.Context, next *schema.Configuration, cause error) error {
	var refused *platform.RefusedError
	if errors.As(cause, &refused) {
		return cause
	}
	for range 5 {
		found, err := d.readConfiguration(ctx)
		if err == nil && configuration.SameRecord(next, found) {
			return nil
		}
		if err == nil && found.GetVersion() >= next.GetVersion() {
			return &configuration.VersionConflictError{
				Have:   found.GetVersion(),
				Want:   next.GetVersion() - 1,
				Author: found.GetAuthor(),
				Reason: found.GetReason(),
			}
		}
		select {
		case <-ctx.Done():
			return &UnknownOutcomeError{
				Version: next.GetVersion(),
				Cause:   cause,
			}
		case <-time.After(200 * time.Millisecond):
		}
	}
	return &UnknownOutcomeError{
		Version: next.GetVersion(),
		Cause:   cause,
	}
}

// checkOut refuses a change that leaves too few upstreams of a service in service, unless it is forced.
func (d *Daemon) checkOut(request *schema.ChangeRequest) ([]string, error) {
	out := request.GetOut()
	changes := []string{"+ out " + out.GetKind() + " " + out.GetName()}
	for _, s := range d.services() {
		total, removed := 0, 0
		for _, h := range s.document().GetHolders() {
			if d.current.Load().isOut("zone", h.GetZone()) || d.current.Load().isOut("upstream", h.GetName()) {
				continue
			}
			total++
			if (out.GetKind() == "zone" && h.GetZone() == out.GetName()) || (out.GetKind() == "upstream" && h.GetName() == out.GetName()) {
				removed++
			}
		}
		if removed == 0 {
			continue
		}
		changes = append(changes, fmt.Sprintf("~ %s: %d of %d upstreams in service stay", s.name, total-removed, total))
		if float64(total-removed) < float64(total)*minServingShare && !request.GetForce() {
			return nil, &configuration.OutOfServiceError{
				Kind:    out.GetKind(),
				Name:    out.GetName(),
				Problem: fmt.Sprintf("%s would be left with %d of %d upstreams in service", s.name, total-removed, total),
				Remedy:  "return another one to service first, or use --force",
			}
		}
	}
	return changes, nil
}

// minServingShare is the share of a service's upstreams that must stay in service after a change that takes some out,
// unless --force is given.
const minServingShare = 0.5
