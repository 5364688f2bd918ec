package gateway

import (
	"io"

	"cuminlift/io/caller"
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

// bodyBuffers bounds the memory of buffered responses. They share the budget with what is read ahead from callers.
type bodyBuffers struct {
	budget *caller.Budget
}

func newBodyBuffers(memoryLimit int64) *bodyBuffers {
	total := int64(defaultBufferMemory)
	if memoryLimit > 0 {
		total = memoryLimit / bufferMemoryShare
	}
	return &bodyBuffers{
		budget: caller.NewBudget(total),
	}
}

// reserve returns how many bytes of a response of the given length, -1 if it is not known, may be buffered. The caller must release
// them.
func (b *bodyBuffers) reserve(length int64) int64 {
	wanted := int64(maxBufferedBody)
	if length >= 0 && length < wanted {
		wanted = length
	}
	if b.budget.Reserve(caller.Responses, wanted) {
		return wanted
	}
	reserved := min(wanted, minBufferedBody)
	b.budget.Take(caller.Responses, reserved)
	return reserved
}

func (b *bodyBuffers) release(reserved int64) {
	b.budget.Release(caller.Responses, reserved)
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
