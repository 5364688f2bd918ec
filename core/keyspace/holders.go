package keyspace

import (
	"slices"
	"sort"
	"time"

	"cuminlift/schema"
)

// HolderMap tells an instance without a coordinator which upstreams hold the keys. It implements dispatch.Owners. The zero
// value knows no holder. It is not safe for concurrent use.
//
// It answers the load after the loss of a coordinator: grants end within seconds, every upstream then rejects every request, and
// the rejections use up the attempts and the retry budget of requests that could wait for the next coordinator.
type HolderMap struct {
	holders []*schema.KeyHolder
	// rangeHolders holds the index into holders for each range, and lastKeys the last key of each range.
	rangeHolders []uint32
	lastKeys     []uint32
	// denied holds the ranges whose reported holder has said that it doesn't hold them, and denials counts them by holder.
	denied  map[int]bool
	denials map[uint32]int
}

// maxDenials is the number of ranges that a holder may deny before all of its ranges count as denied: without a coordinator
// all grants of a holder end at about the same time.
const maxDenials = 2

// Update replaces the holders by those that the coordinator reports. It reports false and changes nothing if the map is
// inconsistent.
func (m *HolderMap) Update(keyMap *schema.KeyMap) bool {
	if len(keyMap.GetWidths()) != len(keyMap.GetOwners()) {
		return false
	}
	lastKeys := make([]uint32, 0, len(keyMap.GetWidths()))
	next := uint32(0)
	for i, width := range keyMap.GetWidths() {
		if int(keyMap.GetOwners()[i]) >= len(keyMap.GetHolders()) {
			return false
		}
		next += width
		lastKeys = append(lastKeys, next-1)
	}
	m.holders, m.rangeHolders, m.lastKeys = keyMap.GetHolders(), keyMap.GetOwners(), lastKeys
	m.denied, m.denials = map[int]bool{}, map[uint32]int{}
	return true
}

// Apply replaces the holders of some ranges. It reports false and changes nothing if no map is known or the changes are inconsistent
// with it.
func (m *HolderMap) Apply(changes *schema.OwnerChanges) bool {
	keys := uint64(0)
	if len(m.lastKeys) > 0 {
		keys = uint64(m.lastKeys[len(m.lastKeys)-1]) + 1
	}
	for _, r := range changes.GetRanges() {
		if r.GetWidth() == 0 || uint64(r.GetFrom())+uint64(r.GetWidth()) > keys || int(r.GetHolder()) >= len(changes.GetHolders()) {
			return false
		}
	}
	for _, r := range changes.GetRanges() {
		m.replaceRange(r.GetFrom(), r.GetFrom()+r.GetWidth()-1, m.holderIndex(changes.GetHolders()[r.GetHolder()]))
	}
	m.denied, m.denials = map[int]bool{}, map[uint32]int{}
	return true
}

// replaceRange gives the keys of a range, which must be known, a holder.
func (m *HolderMap) replaceRange(from, to, holder uint32) {
	first, last := m.rangeOf(from), m.rangeOf(to)
	var lastKeys, holders []uint32
	if start := m.rangeStart(first); start < from {
		lastKeys, holders = append(lastKeys, from-1), append(holders, m.rangeHolders[first])
	}
	lastKeys, holders = append(lastKeys, to), append(holders, holder)
	if m.lastKeys[last] > to {
		lastKeys, holders = append(lastKeys, m.lastKeys[last]), append(holders, m.rangeHolders[last])
	}
	// The slices may be those of the message from which the map came.
	m.lastKeys = slices.Replace(slices.Clone(m.lastKeys), first, last+1, lastKeys...)
	m.rangeHolders = slices.Replace(slices.Clone(m.rangeHolders), first, last+1, holders...)
}

func (m *HolderMap) rangeStart(index int) uint32 {
	if index == 0 {
		return 0
	}
	return m.lastKeys[index-1] + 1
}

// holderIndex returns the index of a holder, which it adds if it is new.
func (m *HolderMap) holderIndex(h *schema.KeyHolder) uint32 {
	for i, known := range m.holders {
		if sameHolder(known, h) {
			return uint32(i)
		}
	}
	m.holders = append(slices.Clone(m.holders), h)
	return uint32(len(m.holders) - 1)
}

func sameHolder(a, b *schema.KeyHolder) bool {
	return a.GetUpstream() == b.GetUpstream() && a.GetBorn() == b.GetBorn()
}

// Changes returns the ranges of next whose holder differs from that in previous. Both must cover the same keys.
func Changes(previous, next *schema.KeyMap) *schema.OwnerChanges {
	changes := &schema.OwnerChanges{}
	positions := map[uint32]uint32{}
	at, previousEnd := -1, uint32(0)
	from := uint32(0)
	for i, width := range next.GetWidths() {
		holder := next.GetHolders()[next.GetOwners()[i]]
		differs := false
		end := from + width
		for {
			if at >= 0 && previousEnd > from {
				differs = differs || !sameHolder(previous.GetHolders()[previous.GetOwners()[at]], holder)
			}
			if previousEnd >= end || at+1 >= len(previous.GetWidths()) {
				break
			}
			at++
			previousEnd += previous.GetWidths()[at]
		}
		if differs || previousEnd < end {
			position, known := positions[next.GetOwners()[i]]
			if !known {
				position = uint32(len(changes.Holders))
				positions[next.GetOwners()[i]] = position
				changes.Holders = append(changes.Holders, holder)
			}
			changes.Ranges = append(changes.Ranges, &schema.OwnedRange{
				From:   from,
				Width:  width,
				Holder: position,
			})
		}
		from = end
	}
	return changes
}

// Deny records that upstream has said that it doesn't hold key. Until the next Update, the key's range has no holder.
func (m *HolderMap) Deny(key uint32, upstream string) {
	index := m.rangeOf(key)
	if index == len(m.lastKeys) || m.denied[index] || m.holders[m.rangeHolders[index]].GetUpstream() != upstream {
		return
	}
	m.denied[index] = true
	m.denials[m.rangeHolders[index]]++
}

// Owner implements dispatch.Owners. The map may be outdated: an upstream rejects keys that it does not hold, see Deny.
func (m *HolderMap) Owner(_ time.Duration, key uint32) (string, bool) {
	index := m.rangeOf(key)
	if index == len(m.lastKeys) || m.denied[index] || m.denials[m.rangeHolders[index]] >= maxDenials {
		return "", false
	}
	return m.holders[m.rangeHolders[index]].GetUpstream(), true
}

// rangeOf returns the index of the range of key, or the number of ranges if it is in none.
func (m *HolderMap) rangeOf(key uint32) int {
	return sort.Search(len(m.lastKeys), func(i int) bool { return m.lastKeys[i] >= key })
}
