package gateway

import (
	"io"
	"net/http"

	"cuminlift/io/caller"
	"cuminlift/io/upstream"
)

const (
	// maxBufferedBody is how many bytes of a response are read before the first one goes to the caller, so that a
	// response that breaks off early can still be replaced by one of another upstream.
	maxBufferedBody = 256 << 10
	// minBufferedBody is the same while many responses are buffered.
	minBufferedBody = 8 << 10
	// maxFollowedBody is the same for a response behind whose request others of its connection run.
	maxFollowedBody = 4 << 20
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

// headMemory implements upstream.HeadMemory.
type headMemory struct {
	budget *caller.Budget
}

// Reserve implements upstream.HeadMemory.
func (m headMemory) Reserve(bytes int64) bool { return m.budget.Reserve(caller.Responses, bytes) }

// Release implements upstream.HeadMemory.
func (m headMemory) Release(bytes int64) { m.budget.Release(caller.Responses, bytes) }

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

// followerHolder is implemented by the ResponseWriter of a connection whose requests are read ahead.
type followerHolder interface {
	// HoldFollowers makes no request start behind this one until its handler has returned, and reports whether any has started.
	HoldFollowers() (followed bool)
}

// readFollowed reads the rest of a response that did not fit into its buffer if requests behind it on the caller's connection already run:
// they could not be answered if it broke off after its first part had been written. It returns the bytes that it has reserved, which the
// caller must release. A response that is too large for it is passed on as it arrives.
func (b *bodyBuffers) readFollowed(w http.ResponseWriter, response *upstream.Response, buffered []byte) (body []byte, complete bool, reserved int64, err error) {
	holder, ahead := w.(followerHolder)
	if !ahead || !holder.HoldFollowers() {
		return buffered, false, 0, nil
	}
	body = buffered
	for len(body) < maxFollowedBody {
		size := int64(maxBufferedBody)
		if response.Length >= 0 {
			size = response.Length - int64(len(body))
		}
		if int64(len(body))+size > maxFollowedBody || !b.budget.Reserve(caller.ReadAhead, size) {
			return body, false, reserved, nil
		}
		reserved += size
		part, err := io.ReadAll(io.LimitReader(response.Body, size))
		body = append(body, part...)
		if err != nil {
			return nil, false, reserved, err
		}
		if response.Length >= 0 || int64(len(part)) < size {
			return body, response.Length < 0 || int64(len(body)) == response.Length, reserved, nil
		}
	}
	return body, false, reserved, nil
}
