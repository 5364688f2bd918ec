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
	// memberPeriod is how often the rows of members are read.
	memberPeriod = time.Second
	// idlePeriod is how often the configuration is read while no service asks for its document.
	idlePeriod = time.Second
	// readTimeout bounds one read, so that a slow platform does not hold up the next one for long.
	readTimeout = 2 * time.Second
)

// reader reads the table: one request for all that is wanted at a time.
type reader struct {
	daemon *Daemon
	mutex  sync.Mutex
	wanted map[*service]uint64
	signal chan struct{}
	// configuration is the version of the configuration's row that was read last.
	configuration uint64
	membersRead   time.Time
	registered    bool
}

func newReader(d *Daemon) *reader {
	return &reader{
		daemon: d,
		wanted: map[*service]uint64{},
		signal: make(chan struct{}, 1),
	}
}

// want asks for a service's document with the next read. known is the version whose content is not needed.
func (r *reader) want(s *service, known uint64) {
	r.mutex.Lock()
	r.wanted[s] = known
	r.mutex.Unlock()
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

func (r *reader) run(ctx context.Context) error {
	ticker := time.NewTicker(idlePeriod)
	defer ticker.Stop()
	for {
		r.readOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-r.signal:
			r.gather(ctx)
		case <-ticker.C:
		}
	}
}

// gather waits a moment for what other services ask for at the same time.
func (r *reader) gather(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(gatherTime):
	}
	select {
	case <-r.signal:
	default:
	}
}

const gatherTime = 2 * time.Millisecond

func (r *reader) take() map[*service]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wanted := r.wanted
	r.wanted = map[*service]uint64{}
	return wanted
}

func (r *reader) readOnce(ctx context.Context) {
	d := r.daemon
	wanted := r.take()
	request := &schema.ReadRequest{
		Keys: []string{configurationKey},
		Known: []*schema.Row{{
			Key:     configurationKey,
			Version: r.configuration,
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
	if time.Since(r.membersRead) >= memberPeriod {
		request.Prefixes = append(request.Prefixes, memberPrefix)
		r.membersRead = time.Now()
	}
	started := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d.metrics.Add(metrics.TableReads, 1)
	reply, err := d.table.Read(ctx, request)
	if err != nil {
		d.metrics.Add(metrics.TableFailures, 1)
		d.logs.For("platform").WithError(err).Debug("read failed")
		for s := range wanted {
			d.post(s, &schema.OwnershipEvent{
				Kind: schema.EventKind_read,
			})
		}
		return
	}
	alive := aliveCounters(reply.GetRows())
	for _, row := range reply.GetRows() {
		if s := byKey[row.GetKey()]; s != nil {
			event := readEvent(s, row, started)
			event.Alive = alive
			d.post(s, event)
			continue
		}
		r.takeRow(ctx, row)
	}
	if !r.registered {
		r.register(ctx)
	}
}

// aliveCounters returns the version of each member's row by the member's id: it grows with each write.
func aliveCounters(rows []*schema.Row) map[string]uint64 {
	counters := map[string]uint64{}
	for _, row := range rows {
		if strings.HasPrefix(row.GetKey(), alivePrefix) {
			counters[string(row.GetValue())] = row.GetVersion()
		}
	}
	return counters
}

// aliveLoop writes this member's row, so that others can tell a cut between them from its end.
func (d *Daemon) aliveLoop(ctx context.Context) error {
	ticker := time.NewTicker(alivePeriod)
	defer ticker.Stop()
	for {
		d.metrics.Add(metrics.TableWrites, 1)
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := d.table.Transact(limited, &schema.Transaction{
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

// alivePeriod is how often the row is written.
const alivePeriod = 300 * time.Millisecond

// readEvent makes the event for a row of an ownership document. A document that can't be read counts as no answer.
func readEvent(s *service, row *schema.Row, started time.Duration) *schema.OwnershipEvent {
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

func (r *reader) takeRow(ctx context.Context, row *schema.Row) {
	d := r.daemon
	if strings.HasPrefix(row.GetKey(), alivePrefix) {
		return
	}
	if row.GetKey() == configurationKey {
		if row.GetVersion() > 0 && len(row.GetValue()) > 0 && d.takeConfigurationRow(ctx, row) {
			r.configuration = row.GetVersion()
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
	d.members.learn(member)
}

// register writes this member's row, over that of an earlier run.
func (r *reader) register(ctx context.Context) {
	value, err := proto.Marshal(r.daemon.self)
	if err != nil {
		return
	}
	reply, err := r.daemon.table.Transact(ctx, &schema.Transaction{
		Puts: []*schema.Row{{
			Key:   memberPrefix + r.daemon.self.GetName(),
			Value: value,
		}},
	})
	r.registered = err == nil && reply.GetCommitted()
}

// write performs a write of an ownership document, with its audit record in the same transaction.
func (d *Daemon) write(ctx context.Context, s *service, w *ownership.WriteDocument) {
	event := &schema.OwnershipEvent{
		Kind:     schema.EventKind_wrote,
		Outcome:  schema.WriteOutcome_unknown,
		Sequence: w.BaseVersion,
	}
	defer func() { d.post(s, event) }()
	transaction, err := d.ownershipTransaction(s, w)
	if err != nil {
		event.Outcome = schema.WriteOutcome_conflict
		d.logs.For("ownership").WithError(err).Error("document can't be written")
		return
	}
	d.metrics.Add(metrics.TableWrites, 1)
	reply, err := d.table.Transact(ctx, transaction)
	if err != nil {
		d.metrics.Add(metrics.TableFailures, 1)
		d.logs.For("ownership").WithError(err).Warn("outcome of a write is unknown")
		return
	}
	if reply.GetCommitted() {
		event.Outcome = schema.WriteOutcome_committed
		return
	}
	event.Outcome = schema.WriteOutcome_conflict
	for _, row := range reply.GetRows() {
		read := readEvent(s, row, 0)
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
