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
	// batchWindow is how long a claim waits for others, so that the platform gets one write for many.
	batchWindow = 2 * time.Millisecond
	// maxBatch bounds the rows of one transaction.
	maxBatch = 64
	// claimQueue bounds the claims that wait.
	claimQueue = 1024
	// maxRecorded bounds the body of a recorded answer, in bytes.
	maxRecorded = 16 << 10
	// settleRetries bounds how often the end of a claim is written again.
	settleRetries = 100
	// settlePause is the wait between.
	settlePause = time.Second
)

// States of a claim.
const (
	claimClaimed = "claimed"
	claimDone    = "done"
	claimNotRun  = "not-run"
)

// claims writes and reads the table's records of idempotency keys.
type claims struct {
	daemon *Daemon
	queue  chan *claimWrite
	// settling counts the goroutines that write the ends of claims.
	settling atomic.Int64
}

// claimWrite is one row to write.
type claimWrite struct {
	key   string
	base  uint64
	claim *schema.Claim
	done  chan claimResult
}

type claimResult struct {
	written bool
	// found is the row that was there instead, nil where the outcome is unknown.
	found *schema.Row
	err   error
}

func newClaims(d *Daemon) *claims {
	return &claims{
		daemon: d,
		queue:  make(chan *claimWrite, claimQueue),
	}
}

// run gathers claims into transactions.
func (c *claims) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.gather(ctx, first)
			go c.write(ctx, batch)
		}
	}
}

func (c *claims) gather(ctx context.Context, first *claimWrite) []*claimWrite {
	batch := []*claimWrite{first}
	keys := map[string]bool{
		first.key: true,
	}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case w := <-c.queue:
			if keys[w.key] {
				// A second claim of the same key in one batch would be lost in it.
				go c.write(ctx, []*claimWrite{w})
				continue
			}
			keys[w.key] = true
			batch = append(batch, w)
		}
	}
	return batch
}

// write performs a batch: a conflict of one row leaves the others to be written without it.
func (c *claims) write(ctx context.Context, batch []*claimWrite) {
	for len(batch) > 0 {
		reply, err := c.transact(ctx, batch)
		if err != nil || reply.GetCommitted() {
			for _, w := range batch {
				w.done <- claimResult{
					written: err == nil,
					err:     err,
				}
			}
			return
		}
		batch = answerConflicts(batch, reply.GetRows())
	}
}

func (c *claims) transact(ctx context.Context, batch []*claimWrite) (*schema.TransactionReply, error) {
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
	return c.daemon.table.Transact(ctx, transaction)
}

// answerConflicts tells those whose row differs, and returns the others.
func answerConflicts(batch []*claimWrite, rows []*schema.Row) []*claimWrite {
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
		// A platform that refuses without saying why must not be asked for ever.
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
	Problem: "a transaction was refused without a differing row",
	Remedy:  "check the platform's version",
}

// put queues one row and waits for its outcome.
func (c *claims) put(ctx context.Context, key string, base uint64, claim *schema.Claim) claimResult {
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
	// repeatWait bounds the wait of a repeat for the end of the first request.
	repeatWait = 500 * time.Millisecond
	// repeatPoll is the wait between two looks.
	repeatPoll = 25 * time.Millisecond
)

// settle writes the end of a claim in the background, again and again while the platform is away. A claim whose end is
// never written stays in doubt, which is safe.
func (c *claims) settle(key string, version uint64, claim *schema.Claim) {
	if c.settling.Add(1) > claimQueue {
		c.settling.Add(-1)
		return
	}
	go func() {
		defer c.settling.Add(-1)
		for range settleRetries {
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			result := c.put(ctx, key, version, claim)
			cancel()
			if result.err == nil || c.daemon.stopping.Load() {
				return
			}
			time.Sleep(settlePause)
		}
	}()
}

// resolveLater finds out whether a claim with a lost answer took effect, and frees its key if so: its request was
// refused as not run.
func (d *Daemon) resolveLater(key string, claim *schema.Claim) {
	freed := proto.Clone(claim).(*schema.Claim)
	freed.State = claimNotRun
	if d.claims.settling.Add(1) > claimQueue {
		d.claims.settling.Add(-1)
		return
	}
	go func() {
		defer d.claims.settling.Add(-1)
		for range settleRetries {
			time.Sleep(settlePause)
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			done := d.resolveOnce(ctx, key, freed)
			cancel()
			if done || d.stopping.Load() {
				return
			}
		}
	}()
}

// resolveOnce reads the row and frees it if it holds the claim. A claim that has not arrived yet may still: an empty
// row is therefore taken by a freed claim, so that the late write conflicts.
func (d *Daemon) resolveOnce(ctx context.Context, key string, freed *schema.Claim) bool {
	reply, err := d.table.Read(ctx, &schema.ReadRequest{
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
	if row.GetVersion() > 0 && (found.GetRequest() != freed.GetRequest() || found.GetState() != claimClaimed) {
		return true
	}
	return d.claims.put(ctx, key, row.GetVersion(), freed).err == nil
}
