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

// maxOperatorBody bounds an operator's request, in bytes.
const maxOperatorBody = 2 << 20

// operatorTimeout bounds the work on one operator's request.
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
	return http.TimeoutHandler(mux, operatorTimeout, "the instance took too long: look at its log and try again\n")
}

func reply(w http.ResponseWriter, status int, message proto.Message) {
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

// author returns the name in the operator's certificate.
func author(r *http.Request) string {
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
		reply(w, http.StatusBadRequest, &schema.ChangeReply{
			Error: fmt.Sprintf("request can't be read (%v): use the client of the same version", err),
		})
		return
	}
	result := d.change(r.Context(), request, author(r))
	status := http.StatusOK
	if result.GetError() != "" {
		status = http.StatusConflict
	}
	reply(w, status, result)
}

// change makes an operator's change: it is accepted once its record is in the table.
func (d *Daemon) change(ctx context.Context, request *schema.ChangeRequest, by string) *schema.ChangeReply {
	current, err := d.readConfiguration(ctx)
	if err != nil {
		return failedChange(err, false)
	}
	next, changes, err := d.prepare(ctx, current, request, by)
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
	if err := d.commit(ctx, current, next); err != nil {
		var unknown *UnknownOutcomeError
		return failedChange(err, errors.As(err, &unknown))
	}
	d.trace.outcome(&schema.Outcome{
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

// UnknownOutcomeError reports a change whose outcome could not be found out.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of version %d is unknown (%v): wait for the platform, then compare with \"cuminlift get\"", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

func (d *Daemon) readConfiguration(ctx context.Context) (*schema.Configuration, error) {
	answer, err := d.table.Read(ctx, &schema.ReadRequest{
		Keys: []string{configurationKey},
	})
	if err != nil {
		return nil, err
	}
	record := &schema.Configuration{}
	if len(answer.GetRows()) != 1 || answer.GetRows()[0].GetVersion() == 0 {
		return nil, nil
	}
	row := answer.GetRows()[0]
	if err := proto.Unmarshal(row.GetValue(), record); err != nil {
		return nil, &platform.MalformedError{
			Operation: "read of the configuration",
			Cause:     err,
		}
	}
	record.Version = row.GetVersion()
	return record, nil
}

// prepare checks the change, stores its text and returns the next record with the differences.
func (d *Daemon) prepare(ctx context.Context, current *schema.Configuration, request *schema.ChangeRequest, by string) (*schema.Configuration, []string, error) {
	change := configuration.Change{
		Base:   request.GetBase(),
		Author: by,
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
		next, err := configuration.Next(current, change)
		return next, changes, err
	}
	if request.GetIn() != nil {
		next, err := configuration.Next(current, change)
		return next, []string{"- out " + request.GetIn().GetKind() + " " + request.GetIn().GetName()}, err
	}
	return d.prepareText(ctx, current, request, change)
}

func (d *Daemon) prepareText(ctx context.Context, current *schema.Configuration, request *schema.ChangeRequest, change configuration.Change) (*schema.Configuration, []string, error) {
	text := []byte(request.GetText())
	parsed, err := estate.Parse("estate", text)
	if err != nil {
		return nil, nil, err
	}
	change.Digest = ContentDigest(text)
	next, err := configuration.Next(current, change)
	if err != nil {
		return nil, nil, err
	}
	old := &schema.Estate{}
	if c := d.current.Load(); c != nil {
		old = c.estate
	}
	changes := estate.Difference(old, parsed)
	if request.GetPlan() {
		return next, changes, nil
	}
	return next, changes, d.objects.Put(ctx, objectPrefix+change.Digest, text)
}

// commit writes the record if current is still in force. A lost answer is resolved by reading back.
func (d *Daemon) commit(ctx context.Context, current, next *schema.Configuration) error {
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
	answer, err := d.table.Transact(ctx, &schema.Transaction{
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
	if answer.GetCommitted() {
		return nil
	}
	winner, err := d.readConfiguration(ctx)
	if err != nil {
		return err
	}
	return &configuration.VersionError{
		Have:   winner.GetVersion(),
		Want:   current.GetVersion(),
		Author: winner.GetAuthor(),
		Reason: winner.GetReason(),
	}
}

// resolveChange finds out whether a write with a lost answer took effect.
func (d *Daemon) resolveChange(ctx context.Context, next *schema.Configuration, cause error) error {
	var refused *platform.RefusedError
	if errors.As(cause, &refused) {
		return cause
	}
	for range 5 {
		found, err := d.readConfiguration(ctx)
		if err == nil && configuration.Same(next, found) {
			return nil
		}
		if err == nil && found.GetVersion() >= next.GetVersion() {
			return &configuration.VersionError{
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

// checkOut refuses to take out what would leave a service without an upstream, unless it is forced.
func (d *Daemon) checkOut(request *schema.ChangeRequest) ([]string, error) {
	out := request.GetOut()
	changes := []string{"+ out " + out.GetKind() + " " + out.GetName()}
	for _, s := range d.services() {
		total, gone := 0, 0
		for _, h := range s.document().GetHolders() {
			if d.current.Load().isOut("zone", h.GetZone()) || d.current.Load().isOut("upstream", h.GetName()) {
				continue
			}
			total++
			if (out.GetKind() == "zone" && h.GetZone() == out.GetName()) || (out.GetKind() == "upstream" && h.GetName() == out.GetName()) {
				gone++
			}
		}
		if gone == 0 {
			continue
		}
		changes = append(changes, fmt.Sprintf("~ %s: %d of %d upstreams in service stay", s.name, total-gone, total))
		if float64(total-gone) < float64(total)*leastStaying && !request.GetForce() {
			return nil, &configuration.OutError{
				Kind:    out.GetKind(),
				Name:    out.GetName(),
				Problem: fmt.Sprintf("%s would keep %d of %d upstreams in service", s.name, total-gone, total),
				Remedy:  "take another back first, or use --force",
			}
		}
	}
	return changes, nil
}

// leastStaying is the part of a service's upstreams that an order to take out leaves in service without --force.
const leastStaying = 0.5
