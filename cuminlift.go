// Package cuminlift is the root of a router for servers that own keys exclusively. It holds the interfaces
// whose behaviour varies; core/… holds decisions without I/O, and io/… the adapters to peers.
package cuminlift

import (
	"context"
	"time"

	"cuminlift/schema"
)

// Clock tells the time since the machine started, including time in which the process or the machine
// was suspended. It never goes backwards.
type Clock interface {
	Now() time.Duration
}

// Table is the platform's transactional table. An error that is not a *platform.RefusedError leaves it
// unknown whether a transaction took effect.
type Table interface {
	// Read returns the rows of one moment.
	Read(ctx context.Context, request *schema.ReadRequest) (*schema.ReadReply, error)
	// Transact writes all rows or none.
	Transact(ctx context.Context, transaction *schema.Transaction) (*schema.TransactionReply, error)
}

// ObjectStore keeps immutable objects by name.
type ObjectStore interface {
	// Put stores content under name. Storing the same content again is no error.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content, which the caller checks against a digest: the store may return an old object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceList is the platform's list of live and leaving machines. It lags.
type InstanceList interface {
	List(ctx context.Context) (*schema.InstanceList, error)
}

// UpstreamControl delivers grants to an upstream.
type UpstreamControl interface {
	// Grant returns the upstream's reply. After an error it is unknown whether the grant was accepted.
	Grant(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error)
}

// HeartbeatSender sends heartbeats to other instances. Delivery is best effort and may be late or out of order.
type HeartbeatSender interface {
	Send(ctx context.Context, address string, heartbeat *schema.Heartbeat) error
}
