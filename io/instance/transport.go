// Package instance carries heartbeats between instances over QUIC with mutual TLS: one stream each.
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

// Protocol is the application protocol of the link in TLS.
const Protocol = "cuminlift-1"

const (
	// MaxHeartbeatSize bounds a heartbeat, in bytes.
	MaxHeartbeatSize = 16 << 20
	// queueLength bounds the heartbeats that wait for one peer; the oldest is dropped.
	queueLength = 16
	// idleTimeout ends a connection to a peer that is silent.
	idleTimeout = 3 * time.Second
	// sendTimeout bounds the sending of one heartbeat, a new connection included.
	sendTimeout = time.Second
	// maxStreams bounds the streams that one peer may have open.
	maxStreams = 64
	// maxPeers bounds the senders kept for peers.
	maxPeers = 4096
)

// Config constructs a PeerTransport.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	Server  *tls.Config
	Client  *tls.Config
	// ResetKey is shared by all runs of this instance, so that a restart ends the peers' connections at once.
	ResetKey [32]byte
	// OnHeartbeat is called for each heartbeat, from several goroutines.
	OnHeartbeat func(*schema.Heartbeat)
	// OnMalformed is called for each stream that can't be read.
	OnMalformed func(error)
	// Allow decides whether a peer's address is reachable, for tests of a cut; nil allows all.
	Allow func(address string) bool
	// OnSent is called with the bytes of each heartbeat sent; nil counts nothing.
	OnSent func(bytes int)
}

// PeerTransport implements cuminlift.HeartbeatSender.
type PeerTransport struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	context   context.Context
	cancel    context.CancelFunc
	mutex     sync.Mutex
	senders   map[string]chan []byte
	waiting   sync.WaitGroup
}

// Listen opens the UDP address and starts to receive.
func Listen(config Config) (*PeerTransport, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("peers address %q: %w", config.Address, err)
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
	l := &PeerTransport{
		config:    config,
		transport: transport,
		listener:  listener,
		context:   ctx,
		cancel:    cancel,
		senders:   map[string]chan []byte{},
	}
	l.waiting.Go(l.accept)
	return l, nil
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

// Address returns the address that the link listens on.
func (l *PeerTransport) Address() string {
	return l.listener.Addr().String()
}

// Close stops the link and waits for its goroutines.
func (l *PeerTransport) Close() {
	l.cancel()
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.transport.Conn.Close()
	l.waiting.Wait()
}

func (l *PeerTransport) accept() {
	for {
		connection, err := l.listener.Accept(l.context)
		if err != nil {
			return
		}
		l.waiting.Go(func() { l.receive(connection) })
	}
}

func (l *PeerTransport) receive(connection *quic.Conn) {
	for {
		stream, err := connection.AcceptUniStream(l.context)
		if err != nil {
			return
		}
		if !l.allowed(connection.RemoteAddr().String()) {
			stream.CancelRead(0)
			continue
		}
		content, err := io.ReadAll(io.LimitReader(stream, MaxHeartbeatSize))
		if err != nil {
			continue
		}
		heartbeat := &schema.Heartbeat{}
		if err := proto.Unmarshal(content, heartbeat); err != nil {
			l.config.OnMalformed(fmt.Errorf("heartbeat from %s can't be read (%w): check that its version fits", connection.RemoteAddr(), err))
			continue
		}
		l.config.OnHeartbeat(heartbeat)
	}
}

func (l *PeerTransport) allowed(address string) bool {
	return l.config.Allow == nil || l.config.Allow(address)
}

// Send implements cuminlift.HeartbeatSender. It never waits: where the peer is slow, the oldest heartbeat is dropped.
func (l *PeerTransport) Send(_ context.Context, address string, heartbeat *schema.Heartbeat) error {
	content, err := proto.Marshal(heartbeat)
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	if !l.allowed(address) {
		return nil
	}
	queue := l.sender(address)
	if queue == nil {
		return fmt.Errorf("more than %d peers: heartbeats to %s are not sent", maxPeers, address)
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

func (l *PeerTransport) sender(address string) chan []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	queue := l.senders[address]
	if queue == nil && len(l.senders) < maxPeers && l.context.Err() == nil {
		queue = make(chan []byte, queueLength)
		l.senders[address] = queue
		l.waiting.Go(func() { l.send(address, queue) })
	}
	return queue
}

// senderIdle is how long a sender without work is kept.
const senderIdle = time.Minute

func (l *PeerTransport) send(address string, queue chan []byte) {
	var connection *quic.Conn
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-l.context.Done():
			return
		case <-idle.C:
			l.forget(address, queue)
			return
		case content := <-queue:
			idle.Reset(senderIdle)
			connection = l.sendOne(address, connection, content)
		}
	}
}

func (l *PeerTransport) forget(address string, queue chan []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.senders[address] == queue {
		delete(l.senders, address)
	}
}

// sendOne returns the connection to use next, nil after a failure.
func (l *PeerTransport) sendOne(address string, connection *quic.Conn, content []byte) *quic.Conn {
	ctx, cancel := context.WithTimeout(l.context, sendTimeout)
	defer cancel()
	if connection == nil || connection.Context().Err() != nil {
		connection = l.dial(ctx, address)
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
	if l.config.OnSent != nil {
		l.config.OnSent(len(content))
	}
	return connection
}

func (l *PeerTransport) dial(ctx context.Context, address string) *quic.Conn {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	connection, err := l.transport.Dial(ctx, target, l.config.Client, quicConfig())
	if err != nil {
		return nil
	}
	return connection
}
