package ownership

import (
	"time"

	"cuminlift/schema"
)

// Action is one side effect that the caller carries out for a Guardian. Exactly one field is set.
type Action struct {
	Read  *ReadDocument
	Write *WriteDocument
	Send  *SendView
	Grant *SendGrant
}

// ReadDocument requests a read of the service's document from the table. The result comes back as a read event.
type ReadDocument struct {
	// StartedAt is echoed in the read event.
	StartedAt time.Duration
	// KnownVersion is the version that the guardian already has. The result may omit its content.
	KnownVersion uint64
}

// WriteDocument replaces the document if the table is still at BaseVersion. The result comes back as a wrote event
// whose sequence is BaseVersion.
type WriteDocument struct {
	BaseVersion uint64
	Next        *schema.Ownership
}

// SendView sends a view to a peer. No event reports the result.
type SendView struct {
	To   *schema.Member
	View *schema.View
}

// SendGrant sends a grant to an upstream. The result comes back as a replied or a failed event.
type SendGrant struct {
	Address string
	Grant   *schema.Grant
}

// Timing holds the intervals and timeouts that all guardians of a service share.
type Timing struct {
	// HeartbeatInterval is the interval between views to a peer and between grants to an upstream.
	HeartbeatInterval time.Duration
	// SuspectTimeout is the silence after which a peer or an upstream counts as lost.
	SuspectTimeout time.Duration
	// ConfirmationTTL is how long after a confirmation that the document is current grants may be in force. It is also
	// the longest lifetime of a grant.
	ConfirmationTTL time.Duration
	// PromiseTTL is how long a guardian promises not to write the document during an outage of the platform.
	PromiseTTL time.Duration
	// PollInterval is the interval between reads of the table.
	PollInterval time.Duration
	// MaxDriftPPM bounds the difference between the rates of two clocks, in parts per million.
	MaxDriftPPM int64
}

// DefaultTiming returns the timing from which the 3 s bound on unavailability is derived.
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

// padForDrift extends d so that at least d has passed on a peer's clock that is slower by at most the drift bound.
func (t Timing) padForDrift(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/1000*t.MaxDriftPPM/1000) + time.Millisecond
}

// trimForDrift shortens d, a period that a peer measures, to the time that it lasts here at least if the peer's clock
// is faster by at most the drift bound.
func (t Timing) trimForDrift(d time.Duration) time.Duration {
	return d - time.Duration(int64(d)/1000*t.MaxDriftPPM/1000) - time.Millisecond
}

// TakeoverDelay returns how long after a new version has been learned a grant of an older version may still be in
// force.
func (t Timing) TakeoverDelay() time.Duration {
	return t.padForDrift(t.padForDrift(t.ConfirmationTTL))
}
