package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/authority"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

// beatTimeout closes the connection of a coordinator that sent no heartbeat for three intervals.
const beatTimeout = 3 * authority.HeartbeatInterval

// acceptPeers accepts connections of coordinators until ctx ends.
func (t *ticketClient) acceptPeers(ctx context.Context, listener net.Listener) error {
	go func() {
		<-ctx.Done()
		listener.Close() // Accept below returns an error.
	}()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			t.log.WithError(err).Warn("accepting a coordinator's connection failed")
			sleep(ctx, localPoolInterval)
			continue
		}
		go t.serveCoordinator(ctx, frames.NewConnection(conn))
	}
}

// serveCoordinator handles the messages of one connection.
func (t *ticketClient) serveCoordinator(ctx context.Context, f *frames.Connection) {
	watchdog := time.AfterFunc(beatTimeout, f.Close)
	defer watchdog.Stop()
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	defer t.disconnect(f)
	for {
		frame, err := f.Receive()
		if err != nil {
			return
		}
		if frame.GetBeat() != nil {
			watchdog.Reset(beatTimeout)
		}
		if !t.handleFrame(f, frame) {
			f.Close()
			return
		}
	}
}

// handleFrame handles a message of a coordinator. It reports false if the connection is to be closed.
func (t *ticketClient) handleFrame(conn frameConn, frame *schema.Frame) bool {
	if rows := frame.GetRows(); rows != nil {
		if err := unpackRows(rows); err != nil {
			t.log.WithError(err).Error("message of the coordinator can't be read")
			return false
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *schema.Frame_Beat:
		return t.handleBeat(conn, body.Beat)
	case *schema.Frame_Reply:
		if conn == t.frameConn {
			t.handleReply(body.Reply)
		}
	case *schema.Frame_Rows:
		if conn == t.frameConn && t.coordinatorName != t.config.Settings.Name {
			t.handleRows(conn, body.Rows)
		}
	case *schema.Frame_TableRequest:
		if conn == t.frameConn && t.coordinatorName != t.config.Settings.Name {
			t.handleTableRequest(conn, body.TableRequest)
		}
	case *schema.Frame_Notice:
		if body.Notice.GetLeaving() {
			t.departures.noteLeaving(body.Notice.GetUpstream(), body.Notice.GetBorn())
		}
	case *schema.Frame_Relays:
		if conn == t.frameConn {
			t.relaysTold = true
			t.setRelays(decodeRelays(body.Relays))
		}
	case *schema.Frame_Suspicions:
		if conn == t.frameConn {
			t.suspects.Replace(decodeSuspicions(t.clock.Now(), body.Suspicions))
		}
	case *schema.Frame_Owners:
		if conn == t.frameConn {
			t.handleOwners(body.Owners)
		}
	case *schema.Frame_OwnerChanges:
		if conn == t.frameConn && !t.keyOwners(body.OwnerChanges.GetService()).Apply(body.OwnerChanges) {
			t.log.WithField("service", body.OwnerChanges.GetService()).Error("changes of key owners do not fit the map from the coordinator: check that all instances run the same version")
		}
	}
	return true
}

func (t *ticketClient) handleBeat(conn frameConn, beat *schema.Beat) bool {
	now := t.clock.Now()
	if beat.GetTerm() < t.term {
		return false
	}
	if beat.GetResigned() {
		t.monitor.CoordinatorResigned(now, beat.GetTerm())
		if conn == t.frameConn {
			t.disconnectLocked(conn)
		}
		return false
	}
	if t.acquiringLease {
		// An instance that is acquiring the lease must not acknowledge another coordinator.
		return false
	}
	t.monitor.HeartbeatReceived(now, beat.GetEra(), beat.GetLeaseVersion(), beat.GetTerm())
	t.store.learnEra(beat.GetEra())
	t.instanceCount = int(beat.GetInstances())
	t.index = int(beat.GetPlace())
	t.maxCPUPermille = beat.GetLargestCpuPermille()
	t.learnResources(beat)
	t.storeReaders = 0
	t.shares.SetPlace(t.index, max(1, t.instanceCount), time.Duration(beat.GetSequence())-now)
	if beat.GetStoreFails() {
		t.storeReaders = int(beat.GetStoreReaders())
		probing := t.storeReaders
		if probing == 0 {
			probing = t.instanceCount
		}
		t.requestStoreProbe(probing)
		// Rows forwarded by a coordinator that can't reach the store may be outdated.
		t.resumeStoreReads(conn)
	}
	if t.frameConn != conn {
		t.attach(conn, beat)
	}
	t.term = beat.GetTerm()
	t.coordinatorTables = decodePositions(beat.GetTables())
	reply := &schema.BeatReply{
		Era:          t.store.currentEra(),
		Sequence:     beat.GetSequence(),
		StoreReached: t.storeReachable(),

		AnswersTableRequests: true,
		UnpacksRows:          true,

		FailedUpstreams: uint32(t.paths.failedCount()),
		LostPaths:       t.paths.anyLost(),
	}
	for _, feed := range t.tables {
		version, era := feed.version()
		reply.Tables = append(reply.Tables, &schema.TableVersion{
			Table:   feed.table,
			Version: version,
			Era:     era,
		})
	}
	conn.Send(&schema.Frame{
		Body: &schema.Frame_BeatReply{
			BeatReply: reply,
		},
	})
	return true
}

// attach makes conn the connection to the coordinator, and submits waiting requests to it instead of the local pools.
func (t *ticketClient) attach(conn frameConn, beat *schema.Beat) {
	t.frameConn = conn
	t.resumeStoreReads(nil)
	t.term = beat.GetTerm()
	t.coordinatorName = beat.GetName()
	t.log.WithFields(logrus.Fields{
		"coordinator": beat.GetName(),
		"term":        beat.GetTerm(),
	}).Info("coordinator found")
	now := t.clock.Now()
	t.sendNotices(now)
	t.sendState(now)
	t.sendUsage(now)
	for _, w := range t.waiters {
		if pool := t.localPools[w.request.GetService()]; pool != nil {
			pool.Cancel(now, w.request.GetId())
		}
		t.refreshRequest(now, w)
		t.submit(now, w)
	}
}

// refreshRequest replaces a request by a copy with the remaining time. The original may still be queued for sending.
func (t *ticketClient) refreshRequest(now time.Duration, w *waiter) {
	w.request = proto.Clone(w.request).(*schema.TicketRequest)
	w.request.RemainingMs = uint32(max(1, (w.deadline - now).Milliseconds()))
	w.request.ObjectiveMs = uint32(max(0, (w.objective - now).Milliseconds()))
}

func (t *ticketClient) handleReply(reply *schema.TicketReply) {
	result := ticketResult{
		id:          reply.GetId(),
		upstream:    reply.GetUpstream(),
		address:     reply.GetAddress(),
		incarnation: reply.GetBorn(),
		reason:      reply.GetReason(),
		retryAfter:  time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
		// The coordinator has sent the last heartbeat before this.
		tables: t.coordinatorTables,
	}
	w := t.waiters[result.id]
	if w == nil {
		t.reportEndLocked(result, "", schema.TicketOutcome_abandoned, 0, nil)
		return
	}
	delete(t.waiters, result.id)
	if result.upstream != "" && !reply.GetCounted() {
		result = t.countReply(result, w.request)
	}
	if result.upstream != "" {
		t.noteGranted(t.clock.Now(), w.request)
	}
	t.grant(t.clock.Now(), w, result)
}

func (t *ticketClient) handleOwners(owners *schema.Owners) {
	if !t.keyOwners(owners.GetService()).Update(owners.GetMap()) {
		t.log.WithField("service", owners.GetService()).Error("key owners from the coordinator are inconsistent: check that all instances run the same version")
	}
}

func (t *ticketClient) handleRows(conn frameConn, rows *schema.TableRows) {
	for _, feed := range t.tables {
		if feed.table != rows.GetTable() || !feed.handleForwarded(conn, rows) {
			continue
		}
		t.log.WithFields(logrus.Fields{
			"table":       feed.table,
			"coordinator": t.coordinatorName,
			"forwarded":   feed.forwarded(),
			"version":     rows.GetVersion(),
		}).Info("source of a table changed")
	}
}

// resumeStoreReads makes the tables that from forwards be read from the store; nil stands for any source.
func (t *ticketClient) resumeStoreReads(from frameConn) {
	for _, feed := range t.tables {
		feed.detach(from)
	}
}

// disconnect handles the end of a connection.
func (t *ticketClient) disconnect(conn frameConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.disconnectLocked(conn)
}

func (t *ticketClient) disconnectLocked(conn frameConn) {
	if t.frameConn != conn {
		return
	}
	t.frameConn = nil
	t.storeReaders = 0
	t.resumeStoreReads(conn)
	t.log.WithFields(logrus.Fields{
		"coordinator": t.coordinatorName,
		"term":        t.term,
		"waiting":     len(t.waiters),
	}).Warn("coordinator lost")
	now := t.clock.Now()
	t.coordinatorLostAt = now
	t.shares.Reset(now)
	for _, w := range t.waiters {
		t.refreshRequest(now, w)
		t.submit(now, w)
	}
}
