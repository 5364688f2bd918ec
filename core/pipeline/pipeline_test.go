package pipeline_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/pipeline"
)

var limits = pipeline.Limits{
	Requests: 4,
	Running:  3,
	Bytes:    100,
}

// run drives a Line through five requests whose kinds are the bits of kinds, and checks every decision. Event number cut is the
// interruption. order decides which running request finishes next.
type run struct {
	c         *qt.C
	line      *pipeline.Line
	kinds     int
	added     uint64
	running   []uint64
	finished  map[uint64]bool
	started   map[uint64]bool
	answered  uint64
	headSent  bool
	announced bool
	events    int
	cut       int
	interrupt func(l *pipeline.Line)
	// interruptedAfter is the number of requests that had started when the interruption came.
	interruptedAfter int
}

func (r *run) event() {
	if r.events == r.cut {
		r.interruptedAfter = len(r.started)
		r.interrupt(r.line)
	}
	r.events++
}

func (r *run) kind(number uint64) pipeline.Kind { return pipeline.Kind(r.kinds >> number & 1) }

func (r *run) start() {
	for {
		number, ok := r.line.Start()
		if !ok {
			return
		}
		r.c.Assert(r.announced, qt.IsFalse, qt.Commentf("started after the close was announced"))
		r.c.Assert(r.started[number], qt.IsFalse)
		for _, other := range r.running {
			r.c.Assert(r.kind(other), qt.Equals, pipeline.Concurrent, qt.Commentf("started beside an exclusive request"))
		}
		if r.kind(number) == pipeline.Exclusive {
			r.c.Assert(number, qt.Equals, r.answered, qt.Commentf("exclusive request is not first in line"))
		}
		r.started[number] = true
		r.running = append(r.running, number)
		r.c.Assert(len(r.running) <= limits.Running, qt.IsTrue)
	}
}

func (r *run) finish(latestFirst bool) {
	i := 0
	if latestFirst {
		i = len(r.running) - 1
	}
	number := r.running[i]
	r.running = append(r.running[:i], r.running[i+1:]...)
	r.finished[number] = true
	r.line.Finish(number, pipeline.Outcome{})
	r.event()
}

func (r *run) play(latestFirst bool) {
	for {
		r.event()
		for r.line.MayRead() && r.added < 5 {
			number, ok := r.line.Add(pipeline.Request{
				Kind:  r.kind(r.added),
				Bytes: 10,
			})
			r.c.Assert(ok, qt.IsTrue)
			r.c.Assert(number, qt.Equals, r.added)
			r.added++
			r.event()
		}
		r.start()
		r.event()
		if r.line.Len() > 0 && r.started[r.line.First()] && !r.headSent {
			r.head()
			r.event()
		}
		switch {
		case r.line.Len() > 0 && r.finished[r.line.First()] && r.headSent:
			r.line.Answered()
			r.answered++
			r.headSent = false
		case len(r.running) > 0:
			r.finish(latestFirst)
		case r.line.Len() == 0 && (r.line.Ended() || r.added == 5):
			return
		}
	}
}

func (r *run) head() {
	r.c.Assert(r.announced, qt.IsFalse, qt.Commentf("response after the one that closes"))
	r.headSent = true
	r.announced = r.line.Head(r.line.First())
}

// TestEveryStartedRequestIsAnsweredAndTheLastOneCloses interrupts a connection with five requests, of each combination of kinds, at
// each point. It guards against requests forwarded behind a response that closes the connection, and against forwarded requests
// without an answer.
func TestEveryStartedRequestIsAnsweredAndTheLastOneCloses(t *testing.T) {
	for name, interrupt := range map[string]func(l *pipeline.Line){
		"stop":         func(l *pipeline.Line) { l.Stop() },
		"end of input": func(l *pipeline.Line) { l.EndInput() },
		"end, then stop": func(l *pipeline.Line) {
			l.EndInput()
			l.Stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for kinds := range 32 {
				for cut := range 40 {
					r := &run{
						c:         qt.New(t),
						line:      pipeline.NewLine(limits),
						kinds:     kinds,
						finished:  map[uint64]bool{},
						started:   map[uint64]bool{},
						cut:       cut,
						interrupt: interrupt,
					}
					r.play(cut%2 == 0)
					comment := qt.Commentf("kinds %b, cut %d", kinds, cut)
					r.c.Assert(r.answered, qt.Equals, uint64(len(r.started)), comment)
					if name == "stop" && cut < r.events {
						// At most one request starts after the decision: the one that announces it.
						r.c.Assert(len(r.started) <= r.interruptedAfter+1, qt.IsTrue, comment)
					}
				}
			}
		})
	}
}

// TestStopBehindASentHeadClosesWithTheNextResponse guards against a close that no response announces while requests wait in line.
func TestStopBehindASentHeadClosesWithTheNextResponse(t *testing.T) {
	c := qt.New(t)
	l := pipeline.NewLine(limits)
	for range 3 {
		_, ok := l.Add(pipeline.Request{
			Kind: pipeline.Exclusive,
		})
		c.Assert(ok, qt.IsTrue)
	}
	_, ok := l.Start()
	c.Assert(ok, qt.IsTrue)
	c.Assert(l.Head(0), qt.IsFalse)
	c.Check(l.Stop(), qt.Equals, 1)
	l.Finish(0, pipeline.Outcome{})
	l.Answered()
	number, ok := l.Start()
	c.Assert(ok, qt.IsTrue)
	c.Check(number, qt.Equals, uint64(1))
	c.Check(l.Head(number), qt.IsTrue)
}

// TestRefusalsLeaveOneRequestRunning guards against a connection that takes more capacity than a caller with a single request while
// its requests are refused.
func TestRefusalsLeaveOneRequestRunning(t *testing.T) {
	c := qt.New(t)
	l := pipeline.NewLine(pipeline.Limits{
		Requests: 8,
		Running:  4,
		Bytes:    100,
	})
	started := func() int {
		for range 8 {
			l.Add(pipeline.Request{})
		}
		n := 0
		for _, ok := l.Start(); ok; _, ok = l.Start() {
			n++
		}
		return n
	}
	answer := func(number uint64, refused bool) {
		l.Finish(number, pipeline.Outcome{
			Refused: refused,
		})
		l.Head(number)
		l.Answered()
	}
	c.Check(started(), qt.Equals, 4)
	for number := range uint64(4) {
		answer(number, true)
	}
	c.Check(started(), qt.Equals, 1)
	answer(4, false)
	c.Check(started(), qt.Equals, 2)
	answer(5, true)
	c.Check(started(), qt.Equals, 0)
	answer(6, false)
	c.Check(started(), qt.Equals, 2)
}

// TestBytesInLineStopReading guards against large requests that are read without bound behind a slow one.
func TestBytesInLineStopReading(t *testing.T) {
	c := qt.New(t)
	l := pipeline.NewLine(limits)
	l.Add(pipeline.Request{
		Bytes: 1000,
	})
	c.Check(l.MayRead(), qt.IsFalse)
	l.Start()
	l.Finish(0, pipeline.Outcome{})
	l.Answered()
	c.Check(l.MayRead(), qt.IsTrue)
}

// rejectedHeads are header sections that two parsers could read differently.
var rejectedHeads = []string{
	"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \vchunked\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
	"GET / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
	"GET / HTTP/1.1\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX: y\rZ: w\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n",
	"GET / HTTP/1.1\r\n Host: a\r\nHost: b\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
	"GET / HTTP/1.1\r\n\r\n",
	"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1 \r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n",
	"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nExpect: 200-maybe\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n\r\nX: y\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n",
	"\n",
	"",
}

var acceptedHeads = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.0\r\n\r\n",
	"GET http://a:80/x HTTP/1.1\r\nHost: a:80\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x?y=%20 HTTP/1.1\r\nhost:a.example:80\r\nContent-Length: 12\r\nExpect: 100-Continue\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: [::1]:80\r\nTransfer-Encoding: Chunked\r\nX-Empty:\r\n\r\n",
}

func TestHeads(t *testing.T) {
	c := qt.New(t)
	for _, head := range rejectedHeads {
		c.Check(pipeline.CheckHead([]byte(head)), qt.IsNotNil, qt.Commentf("%q", head))
	}
	for _, head := range acceptedHeads {
		c.Check(pipeline.CheckHead([]byte(head)), qt.IsNil, qt.Commentf("%q", head))
	}
}

// FuzzHead checks that http.ReadRequest reads each accepted header section as the check does: it takes all of it, and finds the same
// host and length of the body.
func FuzzHead(f *testing.F) {
	for _, head := range append(rejectedHeads, acceptedHeads...) {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		if pipeline.CheckHead(head) != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(head), len(head)+16)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // The server rejects it, too.
		}
		if reader.Buffered() != 0 {
			t.Fatalf("%d bytes of %q are not read", reader.Buffered(), head)
		}
		hosts, lengths := 0, 0
		length := ""
		for _, line := range strings.Split(string(head), "\r\n")[1:] {
			name, value, _ := strings.Cut(line, ":")
			switch strings.ToLower(name) {
			case "host":
				hosts++
				if host := strings.Trim(value, " \t"); host != request.Host {
					t.Fatalf("host is %q in %q", request.Host, head)
				}
			case "content-length":
				lengths++
				length = strings.TrimLeft(strings.Trim(value, " \t"), "0")
			}
		}
		if hosts > 1 || lengths > 1 || len(request.TransferEncoding) > 1 || (lengths > 0 && len(request.TransferEncoding) > 0) {
			t.Fatalf("ambiguous head accepted: %q", head)
		}
		if lengths > 0 && strings.TrimLeft(fmt.Sprint(request.ContentLength), "0") != length {
			t.Fatalf("length is %d in %q", request.ContentLength, head)
		}
	})
}

// Requests that start behind a response of which a part has been sent are lost if it breaks off.
func TestNothingStartsBehindAHeldRequest(t *testing.T) {
	c := qt.New(t)
	l := pipeline.NewLine(limits)
	starts := func() (numbers []uint64) {
		for number, ok := l.Start(); ok; number, ok = l.Start() {
			numbers = append(numbers, number)
		}
		return numbers
	}
	l.Add(pipeline.Request{})
	l.Add(pipeline.Request{})
	c.Assert(starts(), qt.DeepEquals, []uint64{0, 1})
	c.Check(l.Hold(0), qt.IsTrue)
	l.Add(pipeline.Request{})
	c.Check(starts(), qt.HasLen, 0)
	c.Check(l.Hold(1), qt.IsFalse)
	l.Finish(0, pipeline.Outcome{})
	l.Answered()
	c.Check(starts(), qt.HasLen, 0, qt.Commentf("request 1 holds as well"))
	l.Finish(1, pipeline.Outcome{})
	c.Check(starts(), qt.DeepEquals, []uint64{2})
}

// A request that starts behind an incomplete response runs, although its own response can't be sent (LOST).
func TestNothingStartsBehindAResponseThatBrokeOff(t *testing.T) {
	for _, headSent := range []bool{false, true} {
		c := qt.New(t)
		l := pipeline.NewLine(limits)
		_, ok := l.Add(pipeline.Request{})
		c.Assert(ok, qt.IsTrue)
		_, ok = l.Start()
		c.Assert(ok, qt.IsTrue)
		c.Assert(l.Hold(0), qt.IsFalse)
		if headSent {
			l.Head(0)
		}
		_, ok = l.Add(pipeline.Request{})
		c.Assert(ok, qt.IsTrue)
		l.Finish(0, pipeline.Outcome{
			BreaksOff: true,
		})
		_, ok = l.Start()
		c.Check(ok, qt.IsFalse, qt.Commentf("head sent: %v", headSent))
		c.Check(l.Len(), qt.Equals, 1)
		_, ok = l.Add(pipeline.Request{})
		c.Check(ok, qt.IsFalse, qt.Commentf("read while the rest is written, head sent: %v", headSent))
	}
}
