package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

const (
	// batchWindow is how long a claim waits for others to share its transaction, which reduces the number of writes to
	// the platform.
	batchWindow = 2 * time.Millisecond
	// maxBatchRows bounds the rows of one transaction.
	maxBatchRows = 64
	// claimQueueSize bounds the claims that wait to be written, and the goroutines that finalize or release claims.
	claimQueueSize = 1024
	// maxRecordedBodyBytes bounds the body of a recorded response. Larger bodies are not recorded.
	maxRecordedBodyBytes = 16 << 10
	// finalizeRetries bounds how often finalizing or releasing a claim is tried.
	finalizeRetries = 100
	// finalizeRetryDelay is the delay between two tries.
	finalizeRetryDelay = time.Second
)

// States of a claim.
const (
	claimClaimed = "claimed"
	claimDone    = "done"
	claimNotRun  = "not-run"
)

// claimWriter writes claims, the table's records of idempotency keys, in batches.
type claimWriter struct {
	daemon *Daemon
	queue  chan *claimWrite
	// finalizing counts the goroutines that finalize or release claims.
	finalizing atomic.Int64
}

// claimWrite is a conditional write of one claim: it succeeds if the row's version is base.
type claimWrite struct {
	key   string
	base  uint64
	claim *schema.Claim
	done  chan claimResult
}

type claimResult struct {
	written bool
	// found is the conflicting row, nil if there is none or the outcome is unknown.
	found *schema.Row
	err   error
}

func newClaimWriter(d *Daemon) *claimWriter {
	return &claimWriter{
		daemon: d,
		queue:  make(chan *claimWrite, claimQueueSize),
	}
}

// run collects queued claims into batches and writes them.
func (c *claimWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.collectBatch(ctx, first)
			go c.writeBatch(ctx, batch)
		}
	}
}

func (c *claimWriter) collectBatch(ctx context.Context, first *claimWrite) []*claimWrite {
	batch := []*claimWrite{first}
	keys := map[string]bool{
		first.key: true,
	}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < maxBatchRows {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case w := <-c.queue:
			if keys[w.key] {
				// In one batch, the second of two claims of the same key would be lost.
				go c.writeBatch(ctx, []*claimWrite{w})
				continue
			}
			keys[w.key] = true
			batch = append(batch, w)
		}
	}
	return batch
}

// writeBatch writes a batch. On a conflict it answers the conflicting writes and retries the others without them.
func (c *claimWriter) writeBatch(ctx context.Context, batch []*claimWrite) {
	for len(batch) > 0 {
		reply, err := c.transactBatch(ctx, batch)
		if err != nil || reply.GetCommitted() {
			for _, w := range batch {
				w.done <- claimResult{
					written: err == nil,
					err:     err,
				}
			}
			return
		}
		batch = deliverConflicts(batch, reply.GetRows())
	}
}

func (c *claimWriter) transactBatch(ctx context.Context, batch []*claimWrite) (*schema.TransactionReply, error) {
	transaction := &schema.Transaction{}
	for _, w := range batch {
		value, err := proto.Marshal(w.claim)
		if err != nil {
			return nil, err
		}
		transaction.Checks = append(transaction.Checks, &schema.Row{
			Key:     w.key,
			Version: w.base,
		})
		transaction.Puts = append(transaction.Puts, &schema.Row{
			Key:   w.key,
			Value: value,
		})
	}
	c.daemon.metrics.Add(metrics.TableWrites, 1)
	return c.daemon.stateTable.Transact(ctx, transaction)
}

// deliverConflicts answers the writes whose row conflicts and returns the others.
func deliverConflicts(batch []*claimWrite, rows []*schema.Row) []*claimWrite {
	found := map[string]*schema.Row{}
	for _, row := range rows {
		found[row.GetKey()] = row
	}
	var rest []*claimWrite
	for _, w := range batch {
		row := found[w.key]
		if row == nil {
			rest = append(rest, w)
			continue
		}
		w.done <- claimResult{
			found: row,
		}
	}
	if len(rest) == len(batch) {
		// Without a conflicting row in the reply, a retry would be refused again without end.
		for _, w := range batch {
			w.done <- claimResult{
				err: errNoConflict,
			}
		}
		return nil
	}
	return rest
}

var errNoConflict = &SettingsError{
	Path:    "platform",
	Problem: "transaction refused without a conflicting row",
	Remedy:  "check the platform's version",
}

// writeAndWait queues the write of one row and waits for its outcome.
func (c *claimWriter) writeAndWait(ctx context.Context, key string, base uint64, claim *schema.Claim) claimResult {
	w := &claimWrite{
		key:   key,
		base:  base,
		claim: claim,
		done:  make(chan claimResult, 1),
	}
	select {
	case c.queue <- w:
	case <-ctx.Done():
		return claimResult{
			err: ctx.Err(),
		}
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
		return claimResult{
			err: ctx.Err(),
		}
	}
}

const (
	// claimEndTimeout bounds how long a repeated request waits for the first one to finish.
	claimEndTimeout = 500 * time.Millisecond
	// claimPollPeriod is the interval between reads of the claim during that wait.
	claimPollPeriod = 25 * time.Millisecond
)

// finalize writes the final state of a claim in the background and retries while the platform is unreachable. A claim
// whose final state is never written stays in doubt, which is safe: repeats of its request are not run.
func (c *claimWriter) finalize(key string, version uint64, claim *schema.Claim) {
	if c.finalizing.Add(1) > claimQueueSize {
		c.finalizing.Add(-1)
		return
	}
	go func() {
		defer c.finalizing.Add(-1)
		for range finalizeRetries {
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			result := c.writeAndWait(ctx, key, version, claim)
			cancel()
			if result.err == nil || c.daemon.stopping.Load() {
				return
			}
			time.Sleep(finalizeRetryDelay)
		}
	}()
}

// resolveInBackground releases the key of a claim whose write had no known outcome. The request was refused as not run,
// so the claim must not block a repeat if the write took effect.
func (d *Daemon) resolveInBackground(key string, claim *schema.Claim) {
	release := proto.Clone(claim).(*schema.Claim)
	release.State = claimNotRun
	if d.claimWriter.finalizing.Add(1) > claimQueueSize {
		d.claimWriter.finalizing.Add(-1)
		return
	}
	go func() {
		defer d.claimWriter.finalizing.Add(-1)
		for range finalizeRetries {
			time.Sleep(finalizeRetryDelay)
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			resolved := d.resolveClaim(ctx, key, release)
			cancel()
			if resolved || d.stopping.Load() {
				return
			}
		}
	}()
}

// resolveClaim reads the row and releases it if it holds the claim. If the row is empty, the claim's write may still
// arrive; the released claim is then written first, so that the late write conflicts.
func (d *Daemon) resolveClaim(ctx context.Context, key string, release *schema.Claim) bool {
	reply, err := d.stateTable.Read(ctx, &schema.ReadRequest{
		Keys: []string{key},
	})
	if err != nil || len(reply.GetRows()) != 1 {
		return false
	}
	row := reply.GetRows()[0]
	found := &schema.Claim{}
	if err := proto.Unmarshal(row.GetValue(), found); err != nil {
		return true
	}
	if row.GetVersion() > 0 && (found.GetRequest() != release.GetRequest() || found.GetState() != claimClaimed) {
		return true
	}
	return d.claimWriter.writeAndWait(ctx, key, row.GetVersion(), release).err == nil
}
