// Package ownership decides which upstream owns which slice of the hash space. It does no I/O, reads no clock and
// starts no goroutine: a Guardian consumes timestamped events and returns actions.
package ownership

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// MaxHash is the largest hash.
const MaxHash = ^uint64(0)

// Clone returns a deep copy of document.
func Clone(document *schema.Ownership) *schema.Ownership {
	return proto.Clone(document).(*schema.Ownership)
}

// SliceIndex returns the index of the slice that contains hash. There must be at least one slice.
func SliceIndex(slices []*schema.Slice, hash uint64) int {
	after := sort.Search(len(slices), func(i int) bool { return slices[i].GetStart() > hash })
	return after - 1
}

// SliceEnd returns the last hash of the slice at index.
func SliceEnd(slices []*schema.Slice, index int) uint64 {
	if index+1 < len(slices) {
		return slices[index+1].GetStart() - 1
	}
	return MaxHash
}

// FindHolder returns the holder with the given name, or nil.
func FindHolder(document *schema.Ownership, name string) *schema.Holder {
	holders := document.GetHolders()
	i := sort.Search(len(holders), func(i int) bool { return holders[i].GetName() >= name })
	if i < len(holders) && holders[i].GetName() == name {
		return holders[i]
	}
	return nil
}

// FindPool returns the pool of zone, or nil.
func FindPool(document *schema.Ownership, zone string) *schema.Pool {
	for _, p := range document.GetPools() {
		if p.GetZone() == zone {
			return p
		}
	}
	return nil
}

// FindGuardian returns the guardian with the given id, or nil.
func FindGuardian(document *schema.Ownership, id string) *schema.Member {
	for _, m := range document.GetGuardians() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// Validate returns an *InvalidDocumentError if document breaks an invariant of its schema.
func Validate(document *schema.Ownership) error {
	slices := document.GetSlices()
	if len(slices) > 0 && slices[0].GetStart() != 0 {
		return &InvalidDocumentError{
			Service: document.GetService(),
			Problem: "the first slice does not start at 0",
		}
	}
	for i := 1; i < len(slices); i++ {
		if slices[i].GetStart() <= slices[i-1].GetStart() {
			return &InvalidDocumentError{
				Service: document.GetService(),
				Problem: "slices are not sorted by start",
			}
		}
	}
	holders := document.GetHolders()
	for i := 1; i < len(holders); i++ {
		if holders[i].GetName() <= holders[i-1].GetName() {
			return &InvalidDocumentError{
				Service: document.GetService(),
				Problem: "holders are not sorted by name",
			}
		}
	}
	for _, s := range slices {
		if s.GetOwner() != "" && FindHolder(document, s.GetOwner()) == nil {
			return &InvalidDocumentError{
				Service: document.GetService(),
				Problem: "slice owner " + s.GetOwner() + " is not a holder",
			}
		}
	}
	return nil
}

// InvalidDocumentError reports an ownership document that breaks an invariant of its schema.
type InvalidDocumentError struct {
	Service string
	Problem string
}

func (e *InvalidDocumentError) Error() string {
	return "ownership document of " + e.Service + " is invalid (" + e.Problem +
		"): keep using the last valid version, and check the audit trail for the author of this one"
}
