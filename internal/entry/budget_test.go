package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/mustardramp/mustardramp"
)

func TestOnlyServedRequestsAddToRetryBudget(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	tests := map[string]struct {
		denial *mustardramp.Denial
		want   int64
	}{
		"served": {nil, 1},
		"denied": {&mustardramp.Denial{Kind: mustardramp.KindQueueFull, Reason: "the queue is full"}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, address)
			f.pool.denial = test.denial
			_ = readBody(t, f.send(t, "GET", "/files/1", ""))
			if got := f.budget.requestCount.Load(); got != test.want {
				t.Errorf("got %d requests counted, want %d", got, test.want)
			}
		})
	}
}
