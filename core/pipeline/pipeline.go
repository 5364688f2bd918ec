// Package pipeline decides about the requests of one caller's connection: how many are read ahead, which of them start, in which
// order they are answered, and which response closes the connection.
package pipeline

// Kind tells how a request may run beside others of its connection.
type Kind int

const (
	// Concurrent requests may run while requests before and after them run.
	Concurrent Kind = iota
	// Exclusive requests start once all requests before them have been answered, and nothing after them starts before they have
	// finished.
	Exclusive
)

// Limits bounds what a connection reads ahead.
type Limits struct {
	// Requests is the maximum number of requests that have been read and not yet answered, and Running that of requests that run.
	Requests, Running int
	// Bytes is the size of the requests in line from which no further one is read.
	Bytes int64
}

// Request is a request that has been read.
type Request struct {
	Kind Kind
	// Closes is true if nothing can or may be read after this request.
	Closes bool
	Bytes  int64
}

// Outcome is how a request has ended.
type Outcome struct {
	// Refused is true if the request was not served for lack of capacity.
	Refused bool
	// Closes is true if the response is to close the connection.
	Closes bool
	// BreaksOff is true if the response is incomplete, so that no other can follow it on the connection.
	BreaksOff bool
}

type entry struct {
	Request
	started, finished, headSent bool
	// held is true if nothing behind the request may start before it has finished.
	held bool
}

// Line holds the requests of one connection that have been read and not yet answered, in the order in which they were read. They are
// numbered from 0. It is not safe for concurrent use.
type Line struct {
	limits  Limits
	entries []entry
	// first is the number of entries[0].
	first   uint64
	bytes   int64
	running int
	// width is the number of requests that may run now, at most limits.Running. See Finish.
	width int
	// ended is true once no request is added any more, so that the response to the last entry closes the connection.
	ended bool
	// stopping is true if the connection is to close as soon as a response can announce it.
	stopping bool
}

// NewLine returns an empty Line.
func NewLine(limits Limits) *Line {
	return &Line{
		limits: limits,
		width:  limits.Running,
	}
}

// Len returns the number of requests in line.
func (l *Line) Len() int { return len(l.entries) }

// First returns the number of the request that is first in line.
func (l *Line) First() uint64 { return l.first }

// Ended reports whether no request is added any more.
func (l *Line) Ended() bool { return l.ended }

// Closed reports whether the connection is to be closed now: every request that counts as read has been answered.
func (l *Line) Closed() bool { return l.ended && len(l.entries) == 0 }

// MayRead reports whether a further request may be read.
func (l *Line) MayRead() bool {
	return !l.ended && len(l.entries) < l.limits.Requests && (len(l.entries) == 0 || l.bytes < l.limits.Bytes)
}

// Add appends a request and returns its number. It reports false if the request counts as not read.
func (l *Line) Add(request Request) (number uint64, ok bool) {
	if l.ended {
		return 0, false
	}
	l.entries = append(l.entries, entry{
		Request: request,
	})
	l.bytes += request.Bytes
	l.ended = request.Closes || l.stopping
	return l.first + uint64(len(l.entries)) - 1, true
}

// Start marks the next request that may start now as started, and returns its number. It must be called until it reports false.
func (l *Line) Start() (number uint64, ok bool) {
	for i := range l.entries {
		e := &l.entries[i]
		if e.started {
			if (e.Kind == Exclusive || e.held) && !e.finished {
				return 0, false
			}
			continue
		}
		if l.running >= l.width || (e.Kind == Exclusive && i > 0) {
			return 0, false
		}
		e.started = true
		l.running++
		return l.first + uint64(i), true
	}
	return 0, false
}

// Hold makes nothing more start behind a request until that has finished, and reports whether anything behind it has started. A response
// that breaks off once a part of it has been sent ends the connection, so that nothing behind it can be answered.
func (l *Line) Hold(number uint64) (followed bool) {
	i := int(number - l.first)
	l.entries[i].held = true
	return i+1 < len(l.entries) && l.entries[i+1].started
}

// Finish records that a started request has finished, answered or not.
//
// A connection counts as one caller when capacity is short: after a refusal it runs one request at a time, and one more with each
// request that was served since.
func (l *Line) Finish(number uint64, outcome Outcome) {
	l.entries[number-l.first].finished = true
	l.running--
	switch {
	case outcome.Refused:
		l.width = 1
	case l.width < l.limits.Running:
		l.width++
	}
	switch {
	case outcome.BreaksOff:
		l.truncate(l.lastStarted())
	case outcome.Closes:
		l.Stop()
	}
}

// Head records that the head of the response to a request is sent, after the responses to all requests before it, and reports
// whether it must announce that the connection closes.
func (l *Line) Head(number uint64) (closes bool) {
	i := int(number - l.first)
	l.entries[i].headSent = true
	return l.ended && i == len(l.entries)-1
}

// Answered removes the first request, whose response has been sent.
func (l *Line) Answered() {
	l.bytes -= l.entries[0].Bytes
	copy(l.entries, l.entries[1:])
	l.entries = l.entries[:len(l.entries)-1]
	l.first++
}

// EndInput records that the caller sends no further request. Those in line are served.
func (l *Line) EndInput() { l.ended = true }

// Stop records that the connection is to close with the next response that can announce it. Requests that have started are
// answered first; those behind them count as not read and leave the line. If the only response under way can't announce it any
// more, the one after it does, which may still have to be read. It returns the number of requests that left the line.
func (l *Line) Stop() (removed int) {
	l.stopping = true
	last := l.lastStarted()
	if last < 0 || l.entries[last].headSent {
		last++
	}
	if last >= len(l.entries) {
		return 0
	}
	return l.truncate(last)
}

// lastStarted returns the index of the last request that has started, -1 if none. Requests start in the order of the line.
func (l *Line) lastStarted() int {
	last := -1
	for last+1 < len(l.entries) && l.entries[last+1].started {
		last++
	}
	return last
}

// truncate removes the requests behind the one at index last, which count as not read, and ends the line. It returns their number.
func (l *Line) truncate(last int) (removed int) {
	for _, e := range l.entries[last+1:] {
		l.bytes -= e.Bytes
	}
	removed = len(l.entries) - last - 1
	l.entries = l.entries[:last+1]
	l.ended = true
	return removed
}
