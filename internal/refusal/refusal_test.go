package refusal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

var baseTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// addRefusals adds n refusals of three callers, a second apart, and returns them.
func addRefusals(store *Store, n int) []mustardramp.Refusal {
	all := make([]mustardramp.Refusal, n)
	for i := range all {
		all[i] = mustardramp.Refusal{
			ID:      store.NewID("kol-a-1.example", 7),
			Request: fmt.Sprint("request-", i),
			Caller:  mustardramp.CallerName(fmt.Sprint("caller-", i%3)),
			At:      baseTime.Add(time.Duration(i) * time.Second),
		}
		store.Add(all[i])
	}
	return all
}

func TestLookups(t *testing.T) {
	var store Store
	all := addRefusals(&store, 100)
	for _, want := range all {
		got, ok := store.ByID(want.ID)
		if !ok || got.Request != want.Request {
			t.Fatalf("ByID(%s): got %v %v, want %v", want.ID, got, ok, want)
		}
	}
	if got := store.ByRequest("request-42"); len(got) != 1 || got[0].ID != all[42].ID {
		t.Errorf("ByRequest: got %v, want only the refusal %s", got, all[42].ID)
	}
	got := store.ByCaller("caller-1", baseTime.Add(10*time.Second), baseTime.Add(19*time.Second))
	want := []string{"request-19", "request-16", "request-13", "request-10"}
	if len(got) != len(want) {
		t.Fatalf("ByCaller: got %d refusals, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i].Request != want[i] {
			t.Errorf("ByCaller[%d]: got %s, want %s", i, got[i].Request, want[i])
		}
	}
	if _, ok := store.ByID("kol-a-1.example.7.zzz"); ok {
		t.Error("ByID of an unknown id: got a refusal, want none")
	}
}

func TestHostOf(t *testing.T) {
	var store Store
	tests := map[string]struct {
		id   mustardramp.RefusalID
		want mustardramp.HostName
		ok   bool
	}{
		"id of NewID": {store.NewID("kol-a-1.example", 7), "kol-a-1.example", true},
		"request id":  {"4711", "", false},
		"one dot":     {"a.b", "", false},
		"empty":       {"", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := HostOf(test.id)
			if ok != test.ok || ok && got != test.want {
				t.Errorf("got %q %v, want %q %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestStoreIsBounded(t *testing.T) {
	store := Store{Limit: 64 << 10}
	path := strings.Repeat("p", 100000)
	var last mustardramp.Refusal
	for i := range 20000 {
		last = mustardramp.Refusal{
			ID:     store.NewID("h", 1),
			Path:   path,
			Reason: "full",
			At:     baseTime.Add(time.Duration(i)),
		}
		store.Add(last)
	}
	if got := store.Size(); got > store.Limit {
		t.Errorf("size: got %d bytes, want at most %d", got, store.Limit)
	}
	if _, ok := store.ByID(last.ID); !ok {
		t.Error("ByID of the newest refusal: got none, want it kept")
	}
	for i := range store.shards {
		s := &store.shards[i]
		if got, limit := cap(s.refusals), 4*len(s.refusals[s.oldest:])+8; got > limit {
			t.Errorf("shard %d: got capacity for %d refusals, want at most %d", i, got, limit)
		}
	}
}
