package gateway

import (
	"io"
	"sync/atomic"

	"cuminlift/io/upstream"
)

const (
	// maxBufferedBody is how many bytes of a response are read before the first one goes to the caller, so that a
	// response that breaks off early can still be replaced by one of another upstream.
	maxBufferedBody = 256 << 10
	// minBufferedBody is the same while many responses are buffered.
	minBufferedBody = 8 << 10
	// bufferMemoryShare is the share of the memory limit that buffered responses may take, and defaultBufferMemory their memory
	// without a limit.
	bufferMemoryShare   = 8
	defaultBufferMemory = 32 << 20
)

// bodyBuffers bounds the memory of buffered responses.
type bodyBuffers struct {
	free atomic.Int64
}

func newBodyBuffers(memoryLimit int64) *bodyBuffers {
	b := &bodyBuffers{}
	b.free.Store(defaultBufferMemory)
	if memoryLimit > 0 {
		b.free.Store(memoryLimit / bufferMemoryShare)
	}
	return b
}

// reserve returns how many bytes of a response of the given length, -1 if it is not known, may be buffered. The caller must release
// them.
func (b *bodyBuffers) reserve(length int64) int64 {
	wanted := int64(maxBufferedBody)
	if length >= 0 && length < wanted {
		wanted = length
	}
	if b.free.Add(-wanted) >= 0 {
		return wanted
	}
	b.free.Add(wanted)
	reserved := min(wanted, minBufferedBody)
	b.free.Add(-reserved)
	return reserved
}

func (b *bodyBuffers) release(reserved int64) {
	b.free.Add(reserved)
}

// readBody reads at most limit bytes of the body; complete is true if that is the whole body.
func readBody(response *upstream.Response, limit int64) (buffered []byte, complete bool, err error) {
	if response.Length < 0 {
		buffered, err = io.ReadAll(io.LimitReader(response.Body, limit))
		return buffered, err == nil && int64(len(buffered)) < limit, err
	}
	buffered = make([]byte, min(response.Length, limit))
	if _, err = io.ReadFull(response.Body, buffered); err != nil {
		return nil, false, err
	}
	return buffered, response.Length <= limit, nil
}
