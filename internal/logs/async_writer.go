package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks. Lines wait in a bounded buffer for a goroutine that writes them. Lines that do
// not fit are dropped, and a line reports their number.
type AsyncWriter struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that buffers up to size lines for out.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	w := &AsyncWriter{
		lines:   make(chan []byte, size),
		flushes: make(chan chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer. It expects whole lines.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case done := <-w.flushes:
			for range len(w.lines) {
				w.write(out, <-w.lines)
			}
			close(done)
		}
	}
}

func (w *AsyncWriter) write(out io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		line = append(fmt.Appendf(nil, "level=warning msg=\"log lines left out\" lines=%d\n", dropped), line...)
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1) // Reported with the next line that can be written.
	}
}

// Flush waits until all buffered lines are written, at most for limit.
func (w *AsyncWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case w.flushes <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}
