// Package tcp tells connections that were reset from those that their peers have closed.
package tcp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DetectResets returns a dial function whose connections never report a reset as their end. Those that dial opens must have a file
// descriptor.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		detecting, err := New(conn)
		if err != nil {
			conn.Close()
			return nil, err
		}
		return detecting, nil
	}
}

// Conn is a connection whose Read returns io.EOF only if the peer has ended what it sends. The system reports a reset once, to the call that
// comes first. If that is a write, reads find what had arrived before the reset and then the end of the data, as if the peer had ended it.
type Conn struct {
	net.Conn
	// Raw gives access to the connection's file descriptor.
	Raw syscall.RawConn
}

// New returns conn as a Conn. It must have a file descriptor, and stay open for writing until it is closed.
func New(conn net.Conn) (*Conn, error) {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection to %s has no file descriptor", conn.RemoteAddr())
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{
		Conn: conn,
		Raw:  raw,
	}, nil
}

// Read implements net.Conn. After a reset its error is ECONNRESET, whichever call the system has told of it, and also if the reset came
// between the end of the peer's data and the read that would report it.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && c.isReset() {
		err = &net.OpError{
			Op:     "read",
			Net:    "tcp",
			Source: c.LocalAddr(),
			Addr:   c.RemoteAddr(),
			Err:    os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}
	return n, err
}

// isReset reports whether the connection is closed in both directions. This side never closes only its own, so that a reset is the only
// reason.
func (c *Conn) isReset() bool {
	reset := false
	err := c.Raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{
			Fd: int32(fd),
		}}
		_, pollErr := unix.Poll(state, 0)
		for errors.Is(pollErr, unix.EINTR) {
			_, pollErr = unix.Poll(state, 0)
		}
		reset = pollErr != nil || state[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
	})
	return err != nil || reset
}
