// Package instance sends and receives heartbeats between instances over QUIC with mutual TLS, one stream per heartbeat.
package instance

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// Protocol is the ALPN protocol name.
const Protocol = "cuminlift-1"

const (
	// MaxHeartbeatSize bounds the encoded size of a heartbeat, in bytes.
	MaxHeartbeatSize = 16 << 20
	// sendQueueLength bounds the heartbeats queued for one peer. The oldest is dropped if the queue is full.
	sendQueueLength = 16
	// idleTimeout closes a connection on which the peer sends nothing.
	idleTimeout = 3 * time.Second
	// sendTimeout bounds sending one heartbeat, including a new connection.
	sendTimeout = time.Second
	// maxStreams bounds the open streams of one peer.
	maxStreams = 64
	// maxPeers bounds the peers with a send queue.
	maxPeers = 4096
)

// Config configures a PeerTransport.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	Server  *tls.Config
	Client  *tls.Config
	// ResetKey is the stateless reset key. It is the same for all runs of this instance, so that after a restart the peers'
	// connections are closed at once.
	ResetKey [32]byte
	// OnHeartbeat is called for each received heartbeat, from several goroutines.
	OnHeartbeat func(*schema.Heartbeat)
	// OnMalformed is called for each stream that can't be decoded.
	OnMalformed func(error)
	// Allow decides whether a peer's address is reachable, to simulate partitions in tests. If nil, all are.
	Allow func(address string) bool
	// OnSent is called with the size of each heartbeat sent, unless it is nil.
	OnSent func(bytes int)
}

// PeerTransport implements cuminlift.HeartbeatSender.
type PeerTransport struct {
	config     Config
	transport  *quic.Transport
	listener   *quic.Listener
	context    context.Context
	cancel     context.CancelFunc
	mutex      sync.Mutex
	sendQueues map[string]chan []byte
	goroutines sync.WaitGroup
}

// Listen opens the UDP address and starts to accept connections.
func Listen(config Config) (*PeerTransport, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address %q: %w", config.Address, err)
	}
	connection, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	resetKey := quic.StatelessResetKey(config.ResetKey)
	transport := &quic.Transport{
		Conn:              connection,
		StatelessResetKey: &resetKey,
	}
	listener, err := transport.Listen(config.Server, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &PeerTransport{
		config:     config,
		transport:  transport,
		listener:   listener,
		context:    ctx,
		cancel:     cancel,
		sendQueues: map[string]chan []byte{},
	}
	t.goroutines.Go(t.acceptLoop)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:             idleTimeout,
		HandshakeIdleTimeout:       sendTimeout,
		MaxIncomingUniStreams:      maxStreams,
		MaxIncomingStreams:         -1,
		EnableDatagrams:            false,
		InitialPacketSize:          1200,
		DisablePathMTUDiscovery:    true,
		MaxStreamReceiveWindow:     MaxHeartbeatSize,
		Allow0RTT:                  false,
		InitialStreamReceiveWindow: 1 << 18,
	}
}

// Address returns the address that the transport listens on.
func (t *PeerTransport) Address() string {
	return t.listener.Addr().String()
}

// Close closes the transport and waits for its goroutines.
func (t *PeerTransport) Close() {
	t.cancel()
	_ = t.listener.Close()
	_ = t.transport.Close()
	_ = t.transport.Conn.Close()
	t.goroutines.Wait()
}

func (t *PeerTransport) acceptLoop() {
	for {
		connection, err := t.listener.Accept(t.context)
		if err != nil {
			return
		}
		t.goroutines.Go(func() { t.receiveLoop(connection) })
	}
}

func (t *PeerTransport) receiveLoop(connection *quic.Conn) {
	for {
		stream, err := connection.AcceptUniStream(t.context)
		if err != nil {
			return
		}
		if !t.allowed(connection.RemoteAddr().String()) {
			stream.CancelRead(0)
			continue
		}
		content, err := io.ReadAll(io.LimitReader(stream, MaxHeartbeatSize))
		if err != nil {
			continue
		}
		heartbeat := &schema.Heartbeat{}
		if err := proto.Unmarshal(content, heartbeat); err != nil {
			t.config.OnMalformed(fmt.Errorf("heartbeat from %s can't be decoded (%w): check that both run compatible versions", connection.RemoteAddr(), err))
			continue
		}
		t.config.OnHeartbeat(heartbeat)
	}
}

func (t *PeerTransport) allowed(address string) bool {
	return t.config.Allow == nil || t.config.Allow(address)
}

// Send implements cuminlift.HeartbeatSender. It never blocks: if the peer is slow, the oldest queued heartbeat is dropped.
func (t *PeerTransport) Send(_ context.Context, address string, heartbeat *schema.Heartbeat) error {
	content, err := proto.Marshal(heartbeat)
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	if !t.allowed(address) {
		return nil
	}
	queue := t.sendQueueFor(address)
	if queue == nil {
		return fmt.Errorf("limit of %d peers reached: heartbeats to %s are not sent", maxPeers, address)
	}
	for {
		select {
		case queue <- content:
			return nil
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// sendQueueFor returns the queue of a peer, and starts its sender if there is none. It returns nil if there are too many
// peers or the transport is closed.
func (t *PeerTransport) sendQueueFor(address string) chan []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	queue := t.sendQueues[address]
	if queue == nil && len(t.sendQueues) < maxPeers && t.context.Err() == nil {
		queue = make(chan []byte, sendQueueLength)
		t.sendQueues[address] = queue
		t.goroutines.Go(func() { t.sendLoop(address, queue) })
	}
	return queue
}

// senderIdleTimeout is the idle time after which the sender of a peer ends.
const senderIdleTimeout = time.Minute

func (t *PeerTransport) sendLoop(address string, queue chan []byte) {
	var connection *quic.Conn
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-idle.C:
			t.removeSender(address, queue)
			return
		case content := <-queue:
			idle.Reset(senderIdleTimeout)
			connection = t.sendHeartbeat(address, connection, content)
		}
	}
}

// removeSender removes the queue of a peer, unless another sender has replaced it.
func (t *PeerTransport) removeSender(address string, queue chan []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.sendQueues[address] == queue {
		delete(t.sendQueues, address)
	}
}

// sendHeartbeat sends one heartbeat on connection, or on a new one if it is nil or closed. It returns the connection to use
// for the next heartbeat, nil after a failure.
func (t *PeerTransport) sendHeartbeat(address string, connection *quic.Conn, content []byte) *quic.Conn {
	ctx, cancel := context.WithTimeout(t.context, sendTimeout)
	defer cancel()
	if connection == nil || connection.Context().Err() != nil {
		connection = t.dial(ctx, address)
	}
	if connection == nil {
		return nil
	}
	stream, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		_ = connection.CloseWithError(0, "")
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := stream.Write(content); err != nil {
		stream.CancelWrite(0)
		return nil
	}
	if err := stream.Close(); err != nil {
		return nil
	}
	if t.config.OnSent != nil {
		t.config.OnSent(len(content))
	}
	return connection
}

func (t *PeerTransport) dial(ctx context.Context, address string) *quic.Conn {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	connection, err := t.transport.Dial(ctx, target, t.config.Client, quicConfig())
	if err != nil {
		return nil
	}
	return connection
}
