package workspace_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/workspace"
)

func entry(name string, keys ...string) workspace.Entry {
	return workspace.Entry{
		Workspace: workspace.Workspace{
			Name: name,
		},
		Keys: keys,
	}
}

// A caller with a key that was never issued, or a part of one, gets into a workspace.
func TestOnlyIssuedKeysAreFound(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("k", 300)
	d, err := workspace.NewDirectory([]workspace.Entry{entry("a", "key-1", "key-2"), entry("b", "key-3", long), entry("empty")})
	c.Assert(err, qt.IsNil)
	for key, name := range map[string]string{"key-1": "a", "key-2": "a", "key-3": "b", long: "b"} {
		found := d.Find(key)
		c.Assert(found, qt.IsNotNil, qt.Commentf("key %s", key))
		c.Check(found.Name, qt.Equals, name)
	}
	for _, key := range []string{"", "key", "key-1 ", " key-1", "KEY-1", "key-1,key-2", long[1:], "a"} {
		c.Check(d.Find(key), qt.IsNil, qt.Commentf("key %q", key))
	}
}

// A malformed entry leaves a workspace without its quota or a key with two workspaces, or the error discloses a key.
func TestMalformedEntriesAreRejected(t *testing.T) {
	c := qt.New(t)
	quota := func(rate, burst float64) workspace.Entry {
		e := entry("a", "secret")
		e.Rate, e.Burst = rate, burst
		return e
	}
	for _, entries := range [][]workspace.Entry{
		{entry("", "secret")},
		{entry("a", "secret"), entry("b", "other", "secret")},
		{entry("a", "secret"), entry("a", "other")},
		{entry("a", "")},
		{entry("a\r\nAdmin: 1", "secret")},
		{entry(" a", "secret")},
		{quota(-1, 0)},
		{quota(1, -1)},
		{quota(math.NaN(), 0)},
		{quota(1, math.Inf(1))},
	} {
		_, err := workspace.NewDirectory(entries)
		var malformed *workspace.EntryError
		c.Check(err, qt.ErrorAs, &malformed, qt.Commentf("%v", entries))
		c.Check(err, qt.Not(qt.ErrorMatches), "(?s).*secret.*")
	}
}

// Without a configured rate, a workspace is refused everything.
func TestQuotaOnlyWithRate(t *testing.T) {
	c := qt.New(t)
	limited := entry("limited")
	limited.Rate, limited.Burst = 5, 7
	d, err := workspace.NewDirectory([]workspace.Entry{limited, entry("free")})
	c.Assert(err, qt.IsNil)
	rate, burst, ok := d.Quota("limited")
	c.Check([]any{rate, burst, ok}, qt.DeepEquals, []any{5.0, 7.0, true})
	_, _, ok = d.Quota("free")
	c.Check(ok, qt.IsFalse)
	_, _, ok = (*workspace.Directory)(nil).Quota("limited")
	c.Check(ok, qt.IsFalse)
}

// A lookup allocates: at thousands of requests per second the collector takes the instance's processor.
func TestFindDoesNotAllocate(t *testing.T) {
	d, err := workspace.NewDirectory([]workspace.Entry{entry("a", "key-1")})
	qt.Assert(t, err, qt.IsNil)
	allocations := testing.AllocsPerRun(100, func() {
		d.Find("key-1")
		d.Find("0123456789012345678901234567890123456789-unknown")
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

func BenchmarkFind(b *testing.B) {
	const keys = 100_000
	var entries []workspace.Entry
	names := make([]string, keys)
	for i := range names {
		names[i] = fmt.Sprintf("key-%032d", i)
		entries = append(entries, entry(fmt.Sprint("w", i), names[i]))
	}
	d, err := workspace.NewDirectory(entries)
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if d.Find(names[i*7919%keys]) == nil {
			b.Fatal("key not found")
		}
	}
}
