// Package frames carries messages between the coordinator and the other instances over TCP.
package frames

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

const (
	// maxFrame bounds a message, in bytes; the owners of a service with thousands of ranges are the longest.
	maxFrame = 1 << 20
	// frameRing bounds the messages that wait to be written. A peer that takes none for so long is cut off.
	frameRing = 1024
	// frameWrite bounds the time for one write.
	frameWrite = time.Second
)

// ProtocolError reports a connection that does not carry messages as agreed.
type ProtocolError struct {
	Peer    string
	Problem string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("connection with instance %s: %s: check that both run the same version", e.Peer, e.Problem)
}

// Connection carries messages over one connection: each is written by its length and its content.
type Connection struct {
	conn   net.Conn
	reader *bufio.Reader
	out    chan *schema.Frame
	done   chan struct{}
	once   sync.Once
}

// NewConnection returns a carrier over conn, which it owns.
func NewConnection(conn net.Conn) *Connection {
	f := &Connection{
		conn:   conn,
		reader: bufio.NewReader(conn),
		out:    make(chan *schema.Frame, frameRing),
		done:   make(chan struct{}),
	}
	go f.write()
	return f
}

// Peer returns the address of the other side.
func (f *Connection) Peer() string {
	return f.conn.RemoteAddr().String()
}

// Send queues a message. It never blocks: where the ring is full the connection is closed.
func (f *Connection) Send(frame *schema.Frame) {
	select {
	case f.out <- frame:
	case <-f.done:
	default:
		f.Close()
	}
}

// Close ends the connection. It may be called more than once.
func (f *Connection) Close() {
	f.once.Do(func() {
		close(f.done)
		f.conn.Close() // Nothing is left to be told to the peer.
	})
}

// Receive returns the next message. After an error the connection is of no use.
func (f *Connection) Receive() (*schema.Frame, error) {
	length, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return nil, err
	}
	if length > maxFrame {
		return nil, &ProtocolError{
			Peer:    f.Peer(),
			Problem: fmt.Sprintf("a message of %d bytes is over %d", length, maxFrame),
		}
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(f.reader, data); err != nil {
		return nil, err
	}
	frame := &schema.Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, &ProtocolError{
			Peer:    f.Peer(),
			Problem: "a message can't be read: " + err.Error(),
		}
	}
	return frame, nil
}

// write sends what is queued, all that waits in one write.
func (f *Connection) write() {
	var buffer []byte
	for {
		select {
		case <-f.done:
			return
		case frame := <-f.out:
			buffer = appendFrame(buffer[:0], frame)
		}
		for more := true; more; {
			select {
			case frame := <-f.out:
				buffer = appendFrame(buffer, frame)
			default:
				more = false
			}
		}
		err := f.conn.SetWriteDeadline(time.Now().Add(frameWrite))
		if err == nil {
			_, err = f.conn.Write(buffer)
		}
		if err != nil {
			f.Close() // The reader tells its owner.
			return
		}
	}
}

func appendFrame(buffer []byte, frame *schema.Frame) []byte {
	data, err := proto.Marshal(frame)
	if err != nil {
		// A frame of generated types without strings that are no UTF-8 can always be written; names are checked when read.
		return buffer
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(data)))
	return append(buffer, data...)
}
