package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/dispatch"
	"cuminlift/core/replica"
	"cuminlift/io/frames"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// link is the coordinator's connection to one instance. It reconnects when the connection is lost.
type link struct {
	name, zone, address string
	// relayAddress is empty if the instance sends no requests for others. failedUpstreams is the number of upstreams that it does not
	// reach, and lostPaths is true if it has lost its paths to all of a service; pathsKnown is true once it has told on this connection.
	relayAddress          string
	failedUpstreams       int
	lostPaths, pathsKnown bool
	resources             authority.Resources
	// acknowledged is when the last acknowledged heartbeat was sent, 0 before the first on this connection, and roundTrip how long
	// that took. dialTimedOut is true if the last attempt to connect got no answer in time.
	acknowledged, roundTrip time.Duration
	dialTimedOut            atomic.Bool
	// rowVersion is the version of the instance's row. downSince is when the connection was lost or first tried, 0 while connected.
	rowVersion uint64
	downSince  time.Duration
	// index is the position of the instance among all instances, sorted by name.
	index       uint32
	coordinator *coordinator
	// current is nil while disconnected. Only the coordinator's goroutine accesses it.
	current frameConn
	// tableVersions are the versions of the tables that the instance has, and tablesSent is true once it was sent what it lacks.
	tableVersions map[string]replica.Position
	tablesSent    bool
	// readsStore is true while the instance is told that the store fails for the coordinator, so that it reads the store itself, and
	// storeReached is true if it reaches the store. handsUpRows is true if it answers requests for rows, and unpacksRows if it reads
	// compressed rows.
	readsStore, storeReached, handsUpRows, unpacksRows bool
	// session holds the instance's tickets.
	session *dispatch.Session
	cancel  context.CancelFunc
}

func (l *link) send(frame *schema.Frame) {
	if l.current != nil {
		l.current.Send(frame)
	}
}

func (l *link) close() {
	l.cancel()
	if l.current != nil {
		l.current.Close()
	}
}

// addLink starts a link to an instance.
func (c *coordinator) addLink(now time.Duration, instance registeredInstance) {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		name:          instance.GetName(),
		zone:          instance.GetZone(),
		address:       instance.GetAddress(),
		relayAddress:  instance.GetRelayAddress(),
		resources:     rowResources(instance.InstanceRow),
		rowVersion:    instance.version,
		downSince:     now,
		coordinator:   c,
		tableVersions: map[string]replica.Position{},
		cancel:        cancel,
	}
	l.session = c.sessions.Open(l.sendDecision)
	c.links[l.name] = l
	go l.maintain(ctx)
}

const (
	// reconnectPause is the pause before reconnecting, and linkDialTimeout bounds a connection attempt.
	reconnectPause  = 100 * time.Millisecond
	linkDialTimeout = 300 * time.Millisecond
)

// maintain keeps a connection to the instance until ctx ends.
func (l *link) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := upstream.Dialer(linkDialTimeout).DialContext(ctx, "tcp4", l.address)
		l.dialTimedOut.Store(isTimeout(err))
		if err != nil {
			sleep(ctx, reconnectPause)
			continue
		}
		f := frames.NewConnection(conn)
		stop := context.AfterFunc(ctx, func() { time.AfterFunc(l.coordinator.closeDelay, f.Close) })
		l.coordinator.postTicket(func(now time.Duration) {
			l.current = f
			l.downSince = 0
			l.acknowledged, l.roundTrip = 0, 0
			if l.coordinator.links[l.name] == l {
				l.coordinator.quota.Connect(now, l.name)
			}
			l.send(l.coordinator.beatFrame(l, false))
			l.coordinator.queueOwners(l)
			for _, notice := range l.coordinator.departures.departureNotices() {
				l.send(notice)
			}
			l.send(suspicionsFrame(now, l.coordinator.suspects.List(now)))
			l.pathsKnown = false
			l.coordinator.sendRelays(l)
			// What the instance has, it tells in its first heartbeat reply: it may have restarted.
			l.tablesSent, l.storeReached, l.handsUpRows, l.unpacksRows = false, false, false, false
			clear(l.tableVersions)
		})
		l.serve(ctx, f)
		stop()
		l.coordinator.postTicket(func(now time.Duration) { l.coordinator.handleDisconnect(now, l, f) })
		sleep(ctx, reconnectPause)
	}
}

// serve sends heartbeats and handles messages until the connection ends.
func (l *link) serve(ctx context.Context, f *frames.Connection) {
	done := make(chan struct{})
	defer close(done)
	watchdog := time.AfterFunc(beatTimeout, f.Close)
	defer watchdog.Stop()
	go l.sendBeats(ctx, f, done)
	for {
		frame, err := f.Receive()
		if err != nil {
			f.Close()
			return
		}
		switch body := frame.GetBody().(type) {
		case *schema.Frame_BeatReply:
			watchdog.Reset(beatTimeout)
			l.coordinator.post(func(now time.Duration) {
				l.noteRoundTrip(now, body.BeatReply)
				l.coordinator.handleBeatReply(l, body.BeatReply)
			})
		case *schema.Frame_Request:
			if body.Request.GetAttempt() == 0 {
				l.coordinator.requests.Add(1)
			}
			if l.coordinator.overloaded() {
				f.Send(refusal(body.Request.GetId(), dispatch.TooLate, overloadRetryAfter))
				continue
			}
			l.coordinator.postTicket(func(now time.Duration) { l.coordinator.handleRequest(now, l, body.Request) })
		default:
			l.coordinator.postTicket(func(now time.Duration) { l.coordinator.handleFrame(now, l, frame) })
		}
	}
}

// overloadRetryAfter is the Retry-After delay of requests that the coordinator has no time to queue: about twice the time in which
// it works off what waits.
const overloadRetryAfter = 300 * time.Millisecond

func (l *link) sendBeats(ctx context.Context, f *frames.Connection, done <-chan struct{}) {
	ticker := time.NewTicker(authority.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// Send from the coordinator's goroutine, so that no heartbeat goes out after its authority has ended.
			l.coordinator.post(func(time.Duration) {
				if l.current == f {
					l.send(l.coordinator.beatFrame(l, false))
				}
			})
		case <-done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// handleDisconnect drops the connection and the tickets that its instance waits for. Slots of running requests are kept until the
// instance tells which of them have ended, or until their tickets expire.
func (c *coordinator) handleDisconnect(now time.Duration, l *link, f frameConn) {
	if l.current != f {
		return
	}
	l.current = nil
	l.downSince = now
	c.forgetOwners(f)
	if c.links[l.name] == l {
		c.quota.Leave(now, l.name)
	}
	l.session.Disconnect(now)
}

// forwardTables sends all changes of the operators' and upstreams' tables to all instances.
func (c *coordinator) forwardTables() {
	for _, feed := range c.tables {
		feed.setListener(func(page cuminlift.RowPage, whole bool, since uint64) {
			frame := rowsFrame(feed.table, page, whole, since)
			// The caller holds the feed's mutex, for which the coordinator's goroutine may wait: this must not block.
			c.pages.add(frame)
		})
	}
}

// pageQueue passes pages of tables to the coordinator's goroutine.
type pageQueue struct {
	mutex  sync.Mutex
	frames []*schema.Frame
}

func (q *pageQueue) add(frame *schema.Frame) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.frames = append(q.frames, frame)
}

func (q *pageQueue) take() []*schema.Frame {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

// forwardPages sends the pages that have been read since the last call.
func (c *coordinator) forwardPages() {
	for _, frame := range c.pages.take() {
		c.forwardRows(frame)
	}
}

func (c *coordinator) broadcast(frame *schema.Frame) {
	c.sendTo(frame, func(*link) bool { return true })
}

// sendTo sends a message to the connected instances that accept chooses. It is encoded once, if there is any.
func (c *coordinator) sendTo(frame *schema.Frame, accept func(*link) bool) {
	var message []byte
	for _, l := range c.links {
		if l.current == nil || !accept(l) {
			continue
		}
		if message == nil {
			message = frames.Encode(frame)
		}
		l.current.SendEncoded(message)
	}
}

// sendTables sends an instance the rows it lacks, once its first heartbeat reply has told its versions, unless it reads the store
// itself because the store fails for the coordinator.
func (c *coordinator) sendTables(l *link) {
	if l.tablesSent || l.readsStore || len(l.tableVersions) == 0 {
		return
	}
	l.tablesSent = true
	for _, feed := range c.tables {
		known := l.tableVersions[feed.table]
		if frame, ok := feed.frameSince(known.Era, known.Version); ok {
			c.sendRows(l, frame)
		} else {
			l.tablesSent = false
		}
	}
}
