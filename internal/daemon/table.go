package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/core/ownership"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

const (
	configurationKey = "configuration"
	ownershipPrefix  = "ownership/"
	memberPrefix     = "member/"
	alivePrefix      = "alive/"
	auditPrefix      = "audit/"
	claimPrefix      = "claim/"
	objectPrefix     = "estate/"
	// memberReadPeriod is the interval between reads of the member rows.
	memberReadPeriod = time.Second
	// configurationReadPeriod is the interval between reads of the configuration while no service requests its
	// document.
	configurationReadPeriod = time.Second
	// readTimeout bounds one request to the platform, so that a slow one does not delay the next for long.
	readTimeout = 2 * time.Second
)

// tableReader reads the table. One request covers everything that is wanted at the time.
type tableReader struct {
	daemon *Daemon
	mutex  sync.Mutex
	wanted map[*service]uint64
	wake   chan struct{}
	// configurationVersion is the version of the configuration row that was last processed.
	configurationVersion uint64
	lastMemberRead       time.Time
	registered           bool
}

func newTableReader(d *Daemon) *tableReader {
	return &tableReader{
		daemon: d,
		wanted: map[*service]uint64{},
		wake:   make(chan struct{}, 1),
	}
}

// requestDocument includes a service's document in the next read. The reply omits the content if the version is still
// known.
func (r *tableReader) requestDocument(s *service, known uint64) {
	r.mutex.Lock()
	r.wanted[s] = known
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *tableReader) run(ctx context.Context) error {
	ticker := time.NewTicker(configurationReadPeriod)
	defer ticker.Stop()
	for {
		r.readOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			r.coalesceRequests(ctx)
		case <-ticker.C:
		}
	}
}

// coalesceRequests waits briefly for requests of other services, so that one read serves them all.
func (r *tableReader) coalesceRequests(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(coalesceWindow):
	}
	select {
	case <-r.wake:
	default:
	}
}

const coalesceWindow = 2 * time.Millisecond

func (r *tableReader) takeWanted() map[*service]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wanted := r.wanted
	r.wanted = map[*service]uint64{}
	return wanted
}

func (r *tableReader) readOnce(ctx context.Context) {
	d := r.daemon
	wanted := r.takeWanted()
	request := &schema.ReadRequest{
		Keys: []string{configurationKey},
		Known: []*schema.Row{{
			Key:     configurationKey,
			Version: r.configurationVersion,
		}},
	}
	byKey := map[string]*service{}
	for s, known := range wanted {
		key := ownershipPrefix + s.name
		byKey[key] = s
		request.Keys = append(request.Keys, key)
		request.Known = append(request.Known, &schema.Row{
			Key:     key,
			Version: known,
		})
	}
	if len(wanted) > 0 {
		request.Prefixes = append(request.Prefixes, alivePrefix)
	}
	if time.Since(r.lastMemberRead) >= memberReadPeriod {
		request.Prefixes = append(request.Prefixes, memberPrefix)
		r.lastMemberRead = time.Now()
	}
	started := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d.metrics.Add(metrics.TableReads, 1)
	reply, err := d.stateTable.Read(ctx, request)
	if err != nil {
		d.metrics.Add(metrics.TableFailures, 1)
		d.logs.For("platform").WithError(err).Debug("table read failed")
		for s := range wanted {
			d.postEvent(s, &schema.OwnershipEvent{
				Kind: schema.EventKind_read,
			})
		}
		return
	}
	alive := livenessVersions(reply.GetRows())
	for _, row := range reply.GetRows() {
		if s := byKey[row.GetKey()]; s != nil {
			event := documentReadEvent(s, row, started)
			event.Alive = alive
			d.postEvent(s, event)
			continue
		}
		r.applyRow(ctx, row)
	}
	if !r.registered {
		r.register(ctx)
	}
}

// livenessVersions returns the version of each member's liveness row by member ID. The version increases with each
// write.
func livenessVersions(rows []*schema.Row) map[string]uint64 {
	versions := map[string]uint64{}
	for _, row := range rows {
		if strings.HasPrefix(row.GetKey(), alivePrefix) {
			versions[string(row.GetValue())] = row.GetVersion()
		}
	}
	return versions
}

// livenessLoop writes this member's liveness row periodically, so that other members can tell a network partition from
// the end of this process.
func (d *Daemon) livenessLoop(ctx context.Context) error {
	ticker := time.NewTicker(livenessPeriod)
	defer ticker.Stop()
	for {
		d.metrics.Add(metrics.TableWrites, 1)
		writeContext, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := d.stateTable.Transact(writeContext, &schema.Transaction{
			Puts: []*schema.Row{{
				Key:   alivePrefix + d.self.GetName(),
				Value: []byte(d.self.GetId()),
			}},
		})
		cancel()
		if err != nil {
			d.metrics.Add(metrics.TableFailures, 1)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// livenessPeriod is the interval between writes of the liveness row.
const livenessPeriod = 300 * time.Millisecond

// documentReadEvent returns the event for the row of an ownership document. A document that is invalid counts as a
// failed read.
func documentReadEvent(s *service, row *schema.Row, started time.Duration) *schema.OwnershipEvent {
	event := &schema.OwnershipEvent{
		Kind:      schema.EventKind_read,
		Outcome:   schema.WriteOutcome_committed,
		StartedUs: started.Microseconds(),
	}
	if row.GetVersion() == 0 {
		return event
	}
	document := &schema.Ownership{
		Service: s.name,
		Version: row.GetVersion(),
	}
	if len(row.GetValue()) > 0 {
		if proto.Unmarshal(row.GetValue(), document) != nil || document.GetVersion() != row.GetVersion() || ownership.Validate(document) != nil {
			event.Outcome = schema.WriteOutcome_unknown
			return event
		}
	}
	event.Document = document
	return event
}

func (r *tableReader) applyRow(ctx context.Context, row *schema.Row) {
	d := r.daemon
	if strings.HasPrefix(row.GetKey(), alivePrefix) {
		return
	}
	if row.GetKey() == configurationKey {
		if row.GetVersion() > 0 && len(row.GetValue()) > 0 && d.applyConfigurationRow(ctx, row) {
			r.configurationVersion = row.GetVersion()
		}
		return
	}
	member := &schema.Member{}
	if len(row.GetValue()) == 0 || proto.Unmarshal(row.GetValue(), member) != nil {
		return
	}
	if row.GetKey() == memberPrefix+d.self.GetName() && member.GetId() != d.self.GetId() {
		r.registered = r.registered && member.GetId() > d.self.GetId()
	}
	d.members.addMember(member)
}

// register writes this member's row, replacing that of an earlier run.
func (r *tableReader) register(ctx context.Context) {
	value, err := proto.Marshal(r.daemon.self)
	if err != nil {
		return
	}
	reply, err := r.daemon.stateTable.Transact(ctx, &schema.Transaction{
		Puts: []*schema.Row{{
			Key:   memberPrefix + r.daemon.self.GetName(),
			Value: value,
		}},
	})
	r.registered = err == nil && reply.GetCommitted()
}

// writeDocument writes an ownership document and its audit record in one transaction.
func (d *Daemon) writeDocument(ctx context.Context, s *service, w *ownership.WriteDocument) {
	event := &schema.OwnershipEvent{
		Kind:     schema.EventKind_wrote,
		Outcome:  schema.WriteOutcome_unknown,
		Sequence: w.BaseVersion,
	}
	defer func() { d.postEvent(s, event) }()
	transaction, err := d.ownershipTransaction(s, w)
	if err != nil {
		event.Outcome = schema.WriteOutcome_conflict
		d.logs.For("ownership").WithError(err).Error("cannot encode ownership document")
		return
	}
	d.metrics.Add(metrics.TableWrites, 1)
	reply, err := d.stateTable.Transact(ctx, transaction)
	if err != nil {
		d.metrics.Add(metrics.TableFailures, 1)
		d.logs.For("ownership").WithError(err).Warn("outcome of ownership document write is unknown")
		return
	}
	if reply.GetCommitted() {
		event.Outcome = schema.WriteOutcome_committed
		return
	}
	event.Outcome = schema.WriteOutcome_conflict
	for _, row := range reply.GetRows() {
		read := documentReadEvent(s, row, 0)
		if row.GetKey() == ownershipPrefix+s.name && read.GetOutcome() == schema.WriteOutcome_committed {
			event.Document = read.GetDocument()
		}
	}
}

func (d *Daemon) ownershipTransaction(s *service, w *ownership.WriteDocument) (*schema.Transaction, error) {
	value, err := proto.Marshal(w.Next)
	if err != nil {
		return nil, fmt.Errorf("encode document of %s: %w", s.name, err)
	}
	record, err := proto.Marshal(&schema.AuditRecord{
		AtMs:    time.Now().UnixMilli(),
		Author:  w.Next.GetWriter(),
		Subject: ownershipPrefix + s.name,
		From:    fmt.Sprint(w.BaseVersion),
		To:      fmt.Sprint(w.Next.GetVersion()),
		Reason:  w.Next.GetReason(),
		Result:  "accepted",
	})
	if err != nil {
		return nil, fmt.Errorf("encode audit record: %w", err)
	}
	key := ownershipPrefix + s.name
	return &schema.Transaction{
		Checks: []*schema.Row{{
			Key:     key,
			Version: w.BaseVersion,
		}},
		Puts: []*schema.Row{
			{
				Key:   key,
				Value: value,
			},
			{
				Key:   fmt.Sprintf("%s%s/%012d", auditPrefix, key, w.Next.GetVersion()),
				Value: record,
			},
		},
	}, nil
}
