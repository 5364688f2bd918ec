package cuminlift

import (
	"context"
	"fmt"
	"time"
)

// RowStore is a transactional store of versioned rows. Every error that is neither a *ConflictError nor a
// *StoreRefusedError leaves it unknown whether a commit was done, or will be done later if its condition still holds.
type RowStore interface {
	// Rows returns the rows of a table and part as of one moment.
	Rows(ctx context.Context, table, part string) (RowPage, error)
	// Changes returns what changed in a table after a version, and waits up to wait for a first change. It returns a
	// *CompactedError where the store has dropped that part of its history.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	// Commit does all of a transaction or nothing, and returns the version of what it wrote. It returns a
	// *ConflictError where the condition does not hold.
	Commit(ctx context.Context, transaction RowTransaction) (uint64, error)
}

// Row is one row of the store.
type Row struct {
	Table, Part, Key string
	Value            []byte
	// Version grows with every transaction of the store.
	Version uint64
	// Removed is true for a row that is no longer there; it has no value.
	Removed bool
}

// RowPage is an answer about rows.
type RowPage struct {
	Rows []Row
	// Version is the newest one that the page includes: the place to continue from.
	Version uint64
}

// RowTransaction is done as a whole or not at all. All its rows are of one part.
type RowTransaction struct {
	// Require lists rows that must have just that version; version 0 stands for a row that is not there.
	Require []Row
	Put     []Row
	Remove  []Row
}

// ConflictError reports that a row has another version than a transaction requires.
type ConflictError struct {
	// Rows are the required rows as they are now.
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows changed since they were read: read them again and decide anew", len(e.Rows))
}

// CompactedError reports that changes after a version can no longer be told.
type CompactedError struct {
	After uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store no longer tells changes after version %d: read the table as a whole", e.After)
}

// StoreRefusedError reports a call that the store refused without doing anything.
type StoreRefusedError struct {
	Status int
}

func (e *StoreRefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d and did nothing: call again later", e.Status)
}

// KeyGrant is the ownership of a range of keys, both ends inclusive.
type KeyGrant struct {
	// Upstream is the id of the one that is meant; addresses are used again.
	Upstream string
	From, To uint32
	// Fence is above that of every other holder of one of the keys.
	Fence uint64
	// Hold is how long the grant lasts, on the upstream's clock from the arrival of the call.
	Hold time.Duration
	// Handover is the token of the last holder's release, empty without one.
	Handover string
}

// KeyControl grants keys to upstreams and takes them back. After an error that is not a *StaleFenceError it is unknown
// whether the call was or will be carried out, but for an *NotSentError.
type KeyControl interface {
	// Grant returns a *StaleFenceError where the upstream has seen a higher fence on one of the keys, and an *WrongUpstreamError where another
	// one than the grant's answers at the address.
	Grant(ctx context.Context, address string, grant KeyGrant) error
	// Release returns, once no work runs on the keys any more, the token that hands them over. It also returns an *WrongUpstreamError.
	Release(ctx context.Context, address string, grant KeyGrant) (handover string, err error)
}

// WrongUpstreamError reports that another upstream answers at an address: the one that was there has ended.
type WrongUpstreamError struct {
	Address, Want string
}

func (e *WrongUpstreamError) Error() string {
	return fmt.Sprintf("another upstream than %s answers at %s: wait for its entry in the registry", e.Want, e.Address)
}

// StaleFenceError reports a grant below a fence that the upstream has seen.
type StaleFenceError struct {
	Grant KeyGrant
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fence %d for keys %d to %d is too low: record a higher one and grant again", e.Grant.Fence, e.Grant.From, e.Grant.To)
}

// NotSentError reports a call of which nothing was sent, because no connection could be made.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream %s can't be connected to (%v): nothing was sent, call again", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
