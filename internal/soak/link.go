package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// LinkMode is the state of a link.
type LinkMode string

// Modes of a link.
const (
	// LinkOpen passes everything.
	LinkOpen LinkMode = ""
	// LinkReset resets all connections, also new ones.
	LinkReset LinkMode = "reset"
	// LinkRefuse lets open connections live and resets new ones.
	LinkRefuse LinkMode = "refuse-new"
	// LinkSilent passes nothing in either direction, and LinkOneWay nothing towards the target. What was sent arrives once the link
	// is open again, unless its sender has given up.
	LinkSilent LinkMode = "silent"
	LinkOneWay LinkMode = "one-way"
)

// linkModes are the modes in which a link is cut.
var linkModes = []LinkMode{LinkReset, LinkRefuse, LinkSilent, LinkOneWay}

// link passes TCP connections on to a target.
type link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// changed is signalled when the mode changes or the link closes.
	changed *sync.Cond
	mode    LinkMode
	closed  bool
	conns   map[*net.TCPConn]bool
}

func newLink(listen, target string) (*link, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, fmt.Errorf("listening for a link: %w", err)
	}
	l := &link{
		listener: listener,
		target:   target,
		conns:    map[*net.TCPConn]bool{},
	}
	l.changed = sync.NewCond(&l.mutex)
	go l.accept()
	return l, nil
}

// set changes the mode.
func (l *link) set(mode LinkMode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = mode
	if mode == LinkReset {
		l.resetAll()
	}
	l.changed.Broadcast()
}

// resetAll resets all connections. The caller holds the mutex.
func (l *link) resetAll() {
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	l.listener.Close()
	l.resetAll()
	l.changed.Broadcast()
}

func reset(conn *net.TCPConn) {
	// A connection that is closed already needs no reset.
	_ = conn.SetLinger(0)
	conn.Close()
}

func (l *link) accept() {
	for {
		accepted, err := l.listener.Accept()
		if err != nil {
			return // The link is closed.
		}
		go l.pass(accepted.(*net.TCPConn))
	}
}

// add registers a connection unless the link resets it.
func (l *link) add(conn *net.TCPConn, isNew bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || l.mode == LinkReset || (isNew && l.mode == LinkRefuse) {
		reset(conn)
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) pass(from *net.TCPConn) {
	if !l.add(from, true) {
		return
	}
	l.wait(true)
	dialled, err := net.Dial("tcp4", l.target)
	if err != nil {
		l.drop(from)
		return
	}
	to := dialled.(*net.TCPConn)
	if !l.add(to, false) {
		l.drop(from)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.pump(from, to, true) })
	group.Go(func() { l.pump(to, from, false) })
	group.Wait()
	l.drop(from)
	l.drop(to)
}

func (l *link) drop(conn *net.TCPConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conns[conn] {
		delete(l.conns, conn)
		reset(conn)
	}
}

// holds reports whether the mode passes nothing in a direction. The caller holds the mutex.
func (l *link) holds(forward bool) bool {
	return !l.closed && (l.mode == LinkSilent || (l.mode == LinkOneWay && forward))
}

func (l *link) wait(forward bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.holds(forward) {
		l.changed.Wait()
	}
}

// pump copies from one connection to another. What a sender sent before it reset its connection is lost if the link still holds it.
func (l *link) pump(from, to *net.TCPConn, forward bool) {
	var mutex sync.Mutex
	var waiting []byte
	var ended error
	arrived := make(chan struct{}, 1)
	go func() {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			mutex.Lock()
			waiting = append(waiting, buffer[:n]...)
			ended = err
			mutex.Unlock()
			select {
			case arrived <- struct{}{}:
			default:
			}
			if err != nil {
				return
			}
		}
	}()
	for range arrived {
		l.wait(forward)
		mutex.Lock()
		data, err := waiting, ended
		waiting = nil
		mutex.Unlock()
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to)
			return
		}
		if _, writeErr := to.Write(data); writeErr != nil {
			reset(from)
			return
		}
		if err != nil {
			// The other direction may go on.
			_ = to.CloseWrite()
			return
		}
	}
}
