package keyspace

import (
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
