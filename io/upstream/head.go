package upstream

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxInformational bounds the informational responses before the final one, and maxHeadBytes the size of all their heads.
	maxInformational = 16
	maxHeadBytes     = 256 << 10
	// maxHeadMemory bounds the memory that parsing these heads takes. Each byte is held twice while a line is put together, and each line
	// takes an entry in the header whatever its length.
	maxHeadMemory     = 512 << 10
	memoryPerHeadByte = 2
	memoryPerHeadLine = 192
	// freeHeadMemory is the memory of a head for which none is reserved. Proper heads take less.
	freeHeadMemory = 16 << 10
)

var (
	errHeadTooLong  = errors.New("the head of the response has no end")
	errNoHeadMemory = errors.New("the heads of all responses take too much memory")
)

// HeadMemory is the memory for heads of responses that are larger than usual. It must be safe for concurrent use.
type HeadMemory interface {
	// Reserve reserves a number of bytes, and reports whether it did.
	Reserve(bytes int64) bool
	// Release returns reserved bytes.
	Release(bytes int64)
}

// unboundedHeadMemory implements HeadMemory.
type unboundedHeadMemory struct{}

// Reserve implements HeadMemory.
func (unboundedHeadMemory) Reserve(int64) bool { return true }

// Release implements HeadMemory.
func (unboundedHeadMemory) Release(int64) {}

// headReader bounds what is read while a response's head is awaited, because parsing a head keeps all of it in memory.
type headReader struct {
	reader io.Reader
	memory HeadMemory
	// awaiting is true while a head is awaited, and remaining the number of bytes that may be read meanwhile.
	awaiting  bool
	remaining int
	// parsed is the memory that the head takes without the last read, which takes last if all of it belongs to the head. reserved is what
	// has been reserved.
	parsed, last, reserved int64
}

// Read implements io.Reader. It is called again once everything read before has been parsed, so that only the last bytes may belong to the
// body.
func (r *headReader) Read(data []byte) (int, error) {
	if !r.awaiting {
		return r.reader.Read(data)
	}
	r.parsed += r.last
	r.last = 0
	if r.remaining <= 0 || r.parsed > maxHeadMemory {
		return 0, errHeadTooLong
	}
	if more := r.parsed - freeHeadMemory - r.reserved; more > 0 {
		if !r.memory.Reserve(more) {
			return 0, errNoHeadMemory
		}
		r.reserved += more
	}
	n, err := r.reader.Read(data[:min(len(data), r.remaining)])
	r.remaining -= n
	r.last = int64(n)*memoryPerHeadByte + int64(bytes.Count(data[:n], []byte("\n")))*memoryPerHeadLine
	return n, err
}

// await begins a head. What the one before has reserved is returned.
func (r *headReader) await() {
	r.release()
	r.awaiting, r.remaining = true, maxHeadBytes
	r.parsed, r.last = 0, 0
}

// release returns what has been reserved, once the head is no longer used.
func (r *headReader) release() {
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
}
