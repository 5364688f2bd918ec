package rowserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/platform"
)

func put(key, value string, version uint64) cuminlift.RowTransaction {
	return cuminlift.RowTransaction{
		Require: []cuminlift.Row{{
			Table:   "op",
			Key:     key,
			Version: version,
		}},
		Put: []cuminlift.Row{{
			Table: "op",
			Key:   key,
			Value: []byte(value),
		}},
	}
}

// TestStoreOverTheWire plays the calls of the platform's client against the server.
func TestStoreOverTheWire(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	server := httptest.NewServer(rowserver.New(ctx))
	defer server.Close()
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), server.Client())
	control := func(path string, body any) int {
		text, err := json.Marshal(body)
		c.Assert(err, qt.IsNil)
		response, err := http.Post(server.URL+path, "application/json", bytes.NewReader(text))
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		return response.StatusCode
	}
	first, err := store.Commit(ctx, put("a", "1", 0))
	c.Assert(err, qt.IsNil)
	var conflict *cuminlift.ConflictError
	_, err = store.Commit(ctx, put("a", "2", 0))
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Check(conflict.Rows[0].Version, qt.Equals, first)
	page, err := store.Rows(ctx, "op", "")
	c.Assert(err, qt.IsNil)
	c.Check(string(page.Rows[0].Value), qt.Equals, "1")
	// Until a copy with the row exists.
	for control(rowserver.DrillPath, rowserver.Drill{}) != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	later, err := store.Commit(ctx, put("b", "1", 0))
	c.Assert(err, qt.IsNil)
	page, err = store.Changes(ctx, "op", later-1, time.Second)
	c.Assert(err, qt.IsNil)
	c.Check(page.Rows, qt.HasLen, 1)
	c.Check(page.Era, qt.Equals, uint64(1))

	c.Check(control(rowserver.FaultsPath, rowserver.Faults{
		NoHistory: true,
	}), qt.Equals, http.StatusOK)
	var compacted *cuminlift.CompactedError
	_, err = store.Changes(ctx, "op", later, 0)
	c.Check(errors.As(err, &compacted), qt.IsTrue)

	control(rowserver.FaultsPath, rowserver.Faults{
		Down: true,
	})
	var refused *cuminlift.StoreRefusedError
	_, err = store.Commit(ctx, put("c", "1", 0))
	c.Check(errors.As(err, &refused), qt.IsTrue)

	control(rowserver.FaultsPath, rowserver.Faults{
		LostAnswers: 1,
	})
	unanswered, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = store.Commit(unanswered, put("d", "1", 0))
	c.Check(err, qt.IsNotNil)
	control(rowserver.FaultsPath, rowserver.Faults{})
	_, err = store.Commit(ctx, put("d", "2", 0))
	c.Check(errors.As(err, &conflict), qt.IsTrue) // The unanswered one was carried out.
}
