package cuminlift

import (
	"context"
	"fmt"
	"time"
)

// RowStore is a transactional store of versioned rows. It may come back from a copy that is some seconds old; its era then rises by one.
// After an error that is neither a *ConflictError nor a *StoreRefusedError, it is unknown whether the commit took effect, or will still take effect if its precondition holds
// then.
type RowStore interface {
	// Rows returns the rows of a table and part from a consistent snapshot.
	Rows(ctx context.Context, table, part string) (RowPage, error)
	// Changes returns the rows of a table that changed after a version. If there are none, it waits up to wait for a change.
	// It returns a *CompactedError if the store no longer has the history after that version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	// Commit applies all of a transaction or nothing, and returns the version of the rows written. It returns a
	// *ConflictError if a required row has another version, and an *EraError if the store is in another era than the transaction.
	Commit(ctx context.Context, transaction RowTransaction) (uint64, error)
}

// Row is one row of the store.
type Row struct {
	Table, Part, Key string
	Value            []byte
	// Version is the version of the row. Versions increase with every transaction of the store.
	Version uint64
	// Removed is true for a deleted row, which has no value.
	Removed bool
}

// RowPage is the result of a read of rows.
type RowPage struct {
	Rows []Row
	// Version is the newest version that the page includes, from which Changes continues.
	Version uint64
	// Era is the era in which the versions were given out, 0 if the store tells none.
	Era uint64
}

// RowTransaction is applied as a whole or not at all. All its rows must belong to one part.
type RowTransaction struct {
	// Era is the era in which the versions in Require were given out, 0 if it does not matter.
	Era uint64
	// Require lists rows that must exist with exactly the given version. Version 0 means that the row must not exist.
	Require []Row
	Put     []Row
	Remove  []Row
}

// ConflictError reports that a row has another version than the transaction requires.
type ConflictError struct {
	// Rows holds the current state of the required rows.
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows changed since they were read: read them again and retry with a new decision", len(e.Rows))
}

// EraError reports that the store has come back from an older copy and raised its era. Changes since the copy are lost, and versions are
// given out again. A transaction may have been applied: a version that it required may exist again.
type EraError struct {
	Want, Have uint64
}

func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, not %d: read the rows again, and write again what was lost", e.Have, e.Want)
}

// CompactedError reports that the store no longer has the changes after a version.
type CompactedError struct {
	After uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after version %d: read the whole table", e.After)
}

// StoreRefusedError reports a call that the store refused and that had no effect.
type StoreRefusedError struct {
	Status int
}

func (e *StoreRefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d, and it had no effect: try again later", e.Status)
}

// KeyGrant grants an upstream the ownership of a range of keys, both ends inclusive, for a limited time.
type KeyGrant struct {
	// Upstream is the ID of the grantee. It is checked because addresses are reused.
	Upstream string
	From, To uint32
	// Fence is the fencing token. It is higher than that of every other holder of any of the keys.
	Fence uint64
	// Hold is the duration of the grant, measured on the upstream's clock from the arrival of the call.
	Hold time.Duration
	// Handover is the token that the previous holder returned on release, or empty.
	Handover string
}

// KeyControl grants keys to upstreams and releases them. It is unknown whether a call that returns an error was or will be
// carried out, unless the error is a *StaleFenceError or a *NotSentError.
type KeyControl interface {
	// Grant returns a *StaleFenceError if the upstream has seen a higher fence for one of the keys, and a
	// *WrongUpstreamError if another upstream answers at the address.
	Grant(ctx context.Context, address string, grant KeyGrant) error
	// Release returns the handover token for the keys once no request for them is in progress any more. It also returns a
	// *WrongUpstreamError if another upstream answers at the address.
	Release(ctx context.Context, address string, grant KeyGrant) (handover string, err error)
}

// WrongUpstreamError reports that another upstream answers at an address, because the previous one there has ended.
type WrongUpstreamError struct {
	Address, Want string
}

func (e *WrongUpstreamError) Error() string {
	return fmt.Sprintf("an upstream other than %s answers at %s: wait for its registry entry", e.Want, e.Address)
}

// StaleFenceError reports a grant whose fence is lower than one that the upstream has seen.
type StaleFenceError struct {
	Grant KeyGrant
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fence %d for keys %d to %d is too low: record a higher fence and grant again", e.Grant.Fence, e.Grant.From, e.Grant.To)
}

// NotSentError reports a call that was not sent because no connection could be established.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("can't connect to upstream %s (%v): nothing was sent, try again", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
