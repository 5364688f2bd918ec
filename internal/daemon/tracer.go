package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/core/trace"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// traceQueueSize bounds the lines that wait to be written. Lines that do not fit are dropped and counted.
const traceQueueSize = 8192

// tracer records the inputs of decisions, so that they can be replayed.
type tracer struct {
	daemon *Daemon
	out    io.Writer
	file   *os.File
	queue  chan *schema.TraceLine
	// headerWritten holds the services whose first line, with member and timing, was queued. Only the control loop uses
	// it.
	headerWritten map[*service]bool
	// mutex keeps sequence numbers in queue order.
	mutex    sync.Mutex
	sequence uint64
}

func newTracer(d *Daemon) (*tracer, error) {
	t := &tracer{
		daemon:        d,
		out:           d.config.Trace,
		queue:         make(chan *schema.TraceLine, traceQueueSize),
		headerWritten: map[*service]bool{},
	}
	name := d.settings.GetTraceFile()
	if t.out != nil || name == "" {
		return t, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	t.file = file
	t.out = file
	return t, nil
}

// recordInput records an event and a digest of the resulting actions. Only the control loop calls it.
func (t *tracer) recordInput(s *service, now time.Duration, event *schema.OwnershipEvent, actions []ownership.Action) {
	if t.out == nil {
		return
	}
	line := &schema.TraceLine{
		AtUs:    now.Microseconds(),
		Service: s.name,
		Input:   event,
		Digest:  trace.Digest(actions),
	}
	if !t.headerWritten[s] {
		t.headerWritten[s] = true
		line.Self = t.daemon.self
		line.Timing = trace.EncodeTiming(t.daemon.config.Timing, s.extraTakeoverDelay(), s.currentSpec().GetKeyed(), s.index)
	}
	t.enqueue(line)
}

// recordOutcome records an observed fact. It is safe for concurrent use.
func (t *tracer) recordOutcome(o *schema.Outcome) {
	if t.out == nil {
		return
	}
	t.enqueue(&schema.TraceLine{
		AtUs:    t.daemon.clock.Now().Microseconds(),
		Outcome: o,
	})
}

func (t *tracer) enqueue(line *schema.TraceLine) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	line.Format = trace.Format
	line.Instance = t.daemon.self.GetId()
	line.Sequence = t.sequence + 1
	select {
	case t.queue <- line:
		t.sequence++
	default:
		t.daemon.metrics.Add(metrics.TraceLinesDropped, 1)
	}
}

func (t *tracer) run(ctx context.Context) error {
	if t.out == nil {
		return nil
	}
	out := bufio.NewWriter(t.out)
	defer func() {
		_ = out.Flush()
		if t.file != nil {
			_ = t.file.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return t.writeQueued(out)
		case line := <-t.queue:
			if err := trace.Write(out, line); err != nil {
				return fmt.Errorf("write trace: %w", err)
			}
		}
	}
}

// writeQueued writes the lines that are still queued.
func (t *tracer) writeQueued(out io.Writer) error {
	for {
		select {
		case line := <-t.queue:
			if err := trace.Write(out, line); err != nil {
				return fmt.Errorf("write trace: %w", err)
			}
		default:
			return nil
		}
	}
}
