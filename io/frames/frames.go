// Package frames exchanges length-prefixed messages between the coordinator and the other instances over TCP.
package frames

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

const (
	// maxFrameSize bounds a message, in bytes. The longest are the owners of a service with thousands of ranges.
	maxFrameSize = 1 << 20
	// sendQueueLength bounds the messages that wait to be written. A full queue means that the peer has
	// stopped reading, and the connection is closed.
	sendQueueLength = 1024
	// writeTimeout bounds one write to the connection.
	writeTimeout = time.Second
)

// ProtocolError reports a peer that sent an invalid message.
type ProtocolError struct {
	Peer    string
	Problem string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("connection with instance %s: %s: check that both run the same version", e.Peer, e.Problem)
}

// Connection exchanges messages over one connection. Each message is preceded by its length as a varint.
type Connection struct {
	conn      net.Conn
	reader    *bufio.Reader
	sendQueue chan []byte
	// queued is the number of bytes in sendQueue and in the write under way.
	queued atomic.Int64
	done   chan struct{}
	once   sync.Once
}

// NewConnection returns a Connection over conn, which it owns from then on.
func NewConnection(conn net.Conn) *Connection {
	c := &Connection{
		conn:      conn,
		reader:    bufio.NewReader(conn),
		sendQueue: make(chan []byte, sendQueueLength),
		done:      make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// Peer returns the remote address.
func (c *Connection) Peer() string {
	return c.conn.RemoteAddr().String()
}

// Send queues a message. It never blocks: if the queue is full, it closes the connection.
func (c *Connection) Send(frame *schema.Frame) {
	c.SendEncoded(Encode(frame))
}

// SendEncoded does the same for a message that is sent to many peers and encoded only once.
func (c *Connection) SendEncoded(message []byte) {
	c.queued.Add(int64(len(message)))
	select {
	case c.sendQueue <- message:
		return
	case <-c.done:
	default:
		c.Close()
	}
	c.queued.Add(-int64(len(message)))
}

// Encode returns a message with its length in front, for SendEncoded.
func Encode(frame *schema.Frame) []byte {
	size := proto.Size(frame)
	message := binary.AppendUvarint(make([]byte, 0, size+binary.MaxVarintLen32), uint64(size))
	message, err := proto.MarshalOptions{
		UseCachedSize: true,
	}.MarshalAppend(message, frame)
	if err != nil {
		// Only a string that is not valid UTF-8 makes encoding fail, and names are checked when they are read.
		return nil
	}
	return message
}

// Queued returns the number of bytes that wait to be written.
func (c *Connection) Queued() int {
	return int(c.queued.Load())
}

// Close ends the connection. It may be called more than once.
func (c *Connection) Close() {
	c.once.Do(func() {
		close(c.done)
		c.conn.Close() // An error has no consequence: the connection is of no further use.
	})
}

// Receive returns the next message. After an error the connection can't be used any more.
func (c *Connection) Receive() (*schema.Frame, error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, err
	}
	if length > maxFrameSize {
		return nil, &ProtocolError{
			Peer:    c.Peer(),
			Problem: fmt.Sprintf("message of %d bytes exceeds the limit of %d", length, maxFrameSize),
		}
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(c.reader, data); err != nil {
		return nil, err
	}
	frame := &schema.Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, &ProtocolError{
			Peer:    c.Peer(),
			Problem: "message can't be decoded: " + err.Error(),
		}
	}
	return frame, nil
}

// writeLoop writes queued messages. It combines all messages that are waiting into one write.
func (c *Connection) writeLoop() {
	var buffer []byte
	for {
		select {
		case <-c.done:
			return
		case message := <-c.sendQueue:
			buffer = append(buffer[:0], message...)
		}
		for more := true; more; {
			select {
			case message := <-c.sendQueue:
				buffer = append(buffer, message...)
			default:
				more = false
			}
		}
		err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = c.conn.Write(buffer)
		}
		c.queued.Add(-int64(len(buffer)))
		if err != nil {
			c.Close() // Receive reports the closed connection to its caller.
			return
		}
	}
}
