package ownership

import (
	"time"

	"cuminlift/schema"
)

// Action is one thing to do. Exactly one field is set.
type Action struct {
	Read  *ReadDocument
	Write *WriteDocument
	Send  *SendView
	Grant *SendGrant
}

// ReadDocument asks for the service's document in the table. It is answered by a read event.
type ReadDocument struct {
	// StartedAt is given back with the answer.
	StartedAt time.Duration
	// KnownVersion is the version whose content need not be sent again.
	KnownVersion uint64
}

// WriteDocument replaces version Base by Next if Base is still the table's version. It is answered by a
// wrote event with Base as its sequence.
type WriteDocument struct {
	BaseVersion uint64
	Next        *schema.Ownership
}

// SendView tells a peer. It is not answered.
type SendView struct {
	To   *schema.Member
	View *schema.View
}

// SendGrant sends a grant to an upstream. It is answered by a replied or a failed event.
type SendGrant struct {
	Address string
	Grant   *schema.Grant
}

// Timing holds the periods and bounds that all guardians of a service share.
type Timing struct {
	// HeartbeatInterval is the period of views and of grants.
	HeartbeatInterval time.Duration
	// SuspectTimeout is the silence after which a peer or an upstream counts as lost.
	SuspectTimeout time.Duration
	// ConfirmationTTL is how long a proof that the document is current gives the right to grant. It is also the
	// longest grant.
	ConfirmationTTL time.Duration
	// PromiseTTL is how long a guardian abstains from writing, in an outage of the platform.
	PromiseTTL time.Duration
	// PollInterval is the period of reads of the table.
	PollInterval time.Duration
	// MaxDriftPPM bounds the difference of two clocks' rates, in parts per million.
	MaxDriftPPM int64
}

// DefaultTiming returns the timing for which the 3 s bound on unavailability is worked out.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 200 * time.Millisecond,
		SuspectTimeout:    500 * time.Millisecond,
		ConfirmationTTL:   time.Second,
		PromiseTTL:        10 * time.Minute,
		PollInterval:      250 * time.Millisecond,
		MaxDriftPPM:       10000,
	}
}

// longer returns what a wait of d has to be for a peer whose clock runs slower by the drift bound.
func (t Timing) longer(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/1000*t.MaxDriftPPM/1000) + time.Millisecond
}

// shorter returns what may be relied on of a period d that a peer measures.
func (t Timing) shorter(d time.Duration) time.Duration {
	return d - time.Duration(int64(d)/1000*t.MaxDriftPPM/1000) - time.Millisecond
}

// TakeoverDelay returns how long after a new version no grant of an older one can be in force.
func (t Timing) TakeoverDelay() time.Duration {
	return t.longer(t.longer(t.ConfirmationTTL))
}
