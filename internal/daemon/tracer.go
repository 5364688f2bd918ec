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

// traceQueue bounds the lines that wait for the file. Lines that find it full are counted and dropped.
const traceQueue = 8192

// tracer writes the inputs of the decisions, so that replay can run them again.
type tracer struct {
	daemon *Daemon
	out    io.Writer
	file   *os.File
	queue  chan *schema.TraceLine
	// begun holds the guardians whose first line was written. Only the control loop uses it.
	begun map[*service]bool
	// mutex keeps sequences in the order of the queue.
	mutex    sync.Mutex
	sequence uint64
}

func newTracer(d *Daemon) (*tracer, error) {
	t := &tracer{
		daemon: d,
		out:    d.config.Trace,
		queue:  make(chan *schema.TraceLine, traceQueue),
		begun:  map[*service]bool{},
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

// input records one event and a digest of what it led to. It is called by the control loop only.
func (t *tracer) input(s *service, now time.Duration, event *schema.OwnershipEvent, actions []ownership.Action) {
	if t.out == nil {
		return
	}
	line := &schema.TraceLine{
		AtUs:    now.Microseconds(),
		Service: s.name,
		Input:   event,
		Digest:  trace.Digest(actions),
	}
	if !t.begun[s] {
		t.begun[s] = true
		line.Self = t.daemon.self
		line.Timing = trace.EncodeTiming(t.daemon.config.Timing, s.extra(), s.treatment().GetKeyed(), s.index)
	}
	t.put(line)
}

// outcome records an observed fact. Any goroutine may call it.
func (t *tracer) outcome(o *schema.Outcome) {
	if t.out == nil {
		return
	}
	t.put(&schema.TraceLine{
		AtUs:    t.daemon.clock.Now().Microseconds(),
		Outcome: o,
	})
}

func (t *tracer) put(line *schema.TraceLine) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	line.Format = trace.Format
	line.Instance = t.daemon.self.GetId()
	line.Sequence = t.sequence + 1
	select {
	case t.queue <- line:
		t.sequence++
	default:
		t.daemon.metrics.Add(metrics.TraceLost, 1)
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
			return t.rest(out)
		case line := <-t.queue:
			if err := trace.Write(out, line); err != nil {
				return fmt.Errorf("write trace: %w", err)
			}
		}
	}
}

// rest writes the lines that still wait.
func (t *tracer) rest(out io.Writer) error {
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
