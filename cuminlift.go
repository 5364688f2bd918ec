// Package cuminlift is the root package of a router for upstreams that own keys exclusively. It declares the interfaces
// that have several implementations. The packages below core make decisions without I/O, and the packages below io are the
// adapters to peers.
package cuminlift

import (
	"context"
	"time"

	"cuminlift/schema"
)

// Clock returns the time since the machine booted, including time in which the process or the machine was suspended. It
// never goes backwards.
type Clock interface {
	Now() time.Duration
}

// Table is the platform's transactional table. After an error that is not a *platform.RefusedError, it is unknown whether
// a transaction took effect.
type Table interface {
	// Read returns the requested rows from a consistent snapshot.
	Read(ctx context.Context, request *schema.ReadRequest) (*schema.ReadReply, error)
	// Transact writes all rows of the transaction or none.
	Transact(ctx context.Context, transaction *schema.Transaction) (*schema.TransactionReply, error)
}

// ObjectStore stores immutable objects by name.
type ObjectStore interface {
	// Put stores content under name. Storing the same content again is not an error.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content stored under name. The store may return a stale object, so the caller must verify the content
	// against a digest.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceList is the platform's list of running and terminating machines. It may be out of date.
type InstanceList interface {
	List(ctx context.Context) (*schema.InstanceList, error)
}

// UpstreamControl delivers grants to an upstream.
type UpstreamControl interface {
	// Grant returns the upstream's reply. After an error it is unknown whether the grant was accepted.
	Grant(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error)
}

// HeartbeatSender sends heartbeats to other instances. Delivery is best effort: heartbeats may be lost, delayed or
// reordered.
type HeartbeatSender interface {
	Send(ctx context.Context, address string, heartbeat *schema.Heartbeat) error
}
