package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded ring for a goroutine that writes them. What does not fit is
// left out, and a line says how much.
type AsyncWriter struct {
	lines chan []byte
	idle  chan chan struct{}
	lost  atomic.Int64
}

// NewAsyncWriter returns a Ring of size lines before out.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	r := &AsyncWriter{
		lines: make(chan []byte, size),
		idle:  make(chan chan struct{}),
	}
	go r.run(out)
	return r
}

// Write implements io.Writer for whole lines.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.lost.Add(1)
	}
	return len(line), nil
}

func (r *AsyncWriter) run(out io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.write(out, line)
		case done := <-r.idle:
			for range len(r.lines) {
				r.write(out, <-r.lines)
			}
			close(done)
		}
	}
}

func (r *AsyncWriter) write(out io.Writer, line []byte) {
	if lost := r.lost.Swap(0); lost > 0 {
		line = append(fmt.Appendf(nil, "level=warning msg=\"log lines left out\" lines=%d\n", lost), line...)
	}
	if _, err := out.Write(line); err != nil {
		r.lost.Add(1) // Said with the next line that can be written.
	}
}

// Flush waits until all lines are written, or for limit.
func (r *AsyncWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r.idle <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}
