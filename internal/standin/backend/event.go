package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Kind tells what an Event reports.
type Kind string

// Kinds of events.
const (
	// Started and Left are the first and last event of a backend that isn't killed.
	Started Kind = "started"
	Left    Kind = "left"
	// Draining follows the store's acknowledgement that the backend is draining.
	Draining Kind = "draining"
	// Granted and Released report keys.
	Granted  Kind = "granted"
	Released Kind = "released"
	// Begun and Ended report the run of a request.
	Begun Kind = "begun"
	Ended Kind = "ended"
)

// Event is what a backend reports of itself. Times are Unix times in nanoseconds.
type Event struct {
	At      int64  `json:"at"`
	Kind    Kind   `json:"kind"`
	Backend string `json:"backend"`
	Zone    string `json:"zone,omitempty"`
	// Born identifies the start of the backend, in Unix milliseconds.
	Born    int64  `json:"born"`
	Request string `json:"request,omitempty"`
	// Status is the status of the answer to a request that has ended.
	Status int `json:"status,omitempty"`
	// Workspace is the workspace that the request named, empty for none.
	Workspace string `json:"workspace,omitempty"`
	// Keyed is true if the request has a key, Key.
	Keyed bool   `json:"keyed,omitempty"`
	Key   uint32 `json:"key,omitempty"`
	// From and To are the first and the last key granted or released, and Until is when the grant ends.
	From  uint32 `json:"from,omitempty"`
	To    uint32 `json:"to,omitempty"`
	Fence uint64 `json:"fence,omitempty"`
	Until int64  `json:"until,omitempty"`
	// ArrivedAt is when the call for a grant arrived that is carried out later, 0 for one that is carried out at once.
	ArrivedAt int64 `json:"arrived-at,omitempty"`
}

// record writes an event. The caller holds the mutex, so that events are written in the order in which they happen.
func (b *Backend) record(e Event) {
	e.At = time.Now().UnixNano()
	e.Backend, e.Zone, e.Born = b.settings.ID, b.settings.Zone, b.born
	if err := b.events.Encode(e); err != nil && b.eventError == nil {
		b.eventError = fmt.Errorf("writing an event: %w", err)
	}
}

// ReadEvents calls handle with each event of r until it ends. A last line that is cut off is passed over.
func ReadEvents(r io.Reader, handle func(Event)) error {
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		switch err {
		case nil:
			handle(e)
		case io.EOF, io.ErrUnexpectedEOF:
			return nil
		default:
			return fmt.Errorf("reading events: %w", err)
		}
	}
}
