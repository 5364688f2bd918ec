package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

const (
	// maxPendingAuditRecords bounds the records that wait to be written; beyond it the oldest are dropped and counted.
	// Records of accepted changes never wait: they are written in the transaction of the change.
	maxPendingAuditRecords = 4096
	// auditWritePeriod is the interval between writes of pending records.
	auditWritePeriod = 2 * time.Second
)

// auditor collects audit records of events that have no transaction of their own, such as membership changes, and
// writes them to the object store in batches.
type auditor struct {
	daemon      *Daemon
	mutex       sync.Mutex
	records     []*schema.AuditRecord
	dropped     int
	batchNumber int
}

func newAuditor(d *Daemon) *auditor {
	return &auditor{
		daemon: d,
	}
}

// add appends a record, and drops the oldest one when maxPendingAuditRecords are waiting.
func (a *auditor) add(subject, from, to, reason string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.records) >= maxPendingAuditRecords {
		a.records = a.records[1:]
		a.dropped++
	}
	a.records = append(a.records, &schema.AuditRecord{
		AtMs:    time.Now().UnixMilli(),
		Author:  a.daemon.self.GetId(),
		Subject: subject,
		From:    from,
		To:      to,
		Reason:  reason,
		Result:  "observed",
	})
}

func (a *auditor) run(ctx context.Context) error {
	ticker := time.NewTicker(auditWritePeriod)
	defer ticker.Stop()
	states := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.Background(), time.Second)
			a.write(last)
			cancel()
			return nil
		case <-ticker.C:
			a.recordMembers(states)
			a.write(ctx)
		}
	}
}

// recordMembers adds a record for each member whose liveness changed since the last call.
func (a *auditor) recordMembers(states map[string]bool) {
	for _, s := range a.daemon.members.states(a.daemon.clock.Now()) {
		was, known := states[s.Member.GetId()]
		if known && was == s.Alive {
			continue
		}
		states[s.Member.GetId()] = s.Alive
		a.add("membership/"+s.Member.GetId(), livenessText(known, was), livenessText(true, s.Alive), "heartbeats")
	}
}

func livenessText(observed, alive bool) string {
	switch {
	case !observed:
		return "unknown"
	case alive:
		return "alive"
	}
	return "silent"
}

func (a *auditor) write(ctx context.Context) {
	a.mutex.Lock()
	records := a.records
	a.records = nil
	a.mutex.Unlock()
	if len(records) == 0 {
		return
	}
	var text strings.Builder
	for _, r := range records {
		line, err := protojson.Marshal(r)
		if err == nil {
			text.Write(line)
			text.WriteByte('\n')
		}
	}
	name := fmt.Sprintf("audit/%s/%08d", a.daemon.self.GetId(), a.batchNumber)
	if err := a.daemon.objects.Put(ctx, name, []byte(text.String())); err != nil {
		a.mutex.Lock()
		a.records = append(records, a.records...)
		if over := len(a.records) - maxPendingAuditRecords; over > 0 {
			a.records = a.records[over:]
			a.dropped += over
		}
		a.mutex.Unlock()
		return
	}
	a.batchNumber++
}

// readAudit returns the records of accepted changes whose key starts with prefix, oldest first within one subject.
func (d *Daemon) readAudit(ctx context.Context, prefix string) ([]*schema.AuditRecord, error) {
	reply, err := d.stateTable.Read(ctx, &schema.ReadRequest{
		Prefixes: []string{auditPrefix + prefix},
	})
	if err != nil {
		return nil, err
	}
	var records []*schema.AuditRecord
	for _, row := range reply.GetRows() {
		record := &schema.AuditRecord{}
		if proto.Unmarshal(row.GetValue(), record) == nil {
			records = append(records, record)
		}
	}
	return records, nil
}
