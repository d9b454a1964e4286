package admin_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
)

// TestEveryKindIsDocumented checks that docs/REFUSALS.md lists every kind with its
// status.
func TestEveryKindIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	if err != nil {
		t.Fatal(err)
	}
	for kind := range mustardramp.KindCount {
		want := "| `" + kind.String() + "` | " + strconv.Itoa(kind.Status()) + " |"
		if !strings.Contains(string(page), want) {
			t.Errorf("got no row %q in docs/REFUSALS.md", want)
		}
	}
}

func TestAdvice(t *testing.T) {
	tests := map[string]struct {
		refusal mustardramp.Refusal
		want    string
	}{
		"nothing ran": {mustardramp.Refusal{Kind: mustardramp.KindDial, Verdict: mustardramp.VerdictNotRun()}, "nothing ran"},
		"with key":    {mustardramp.Refusal{Kind: mustardramp.KindLost, Key: "k"}, "with the same key"},
		"idempotent":  {mustardramp.Refusal{Kind: mustardramp.KindLost, Idempotent: true}, "may be repeated"},
		"without key": {mustardramp.Refusal{Kind: mustardramp.KindLost}, "Look at the service"},
		"ran":         {mustardramp.Refusal{Kind: mustardramp.KindTruncated, Verdict: mustardramp.VerdictRan()}, "Do not send it again"},
		"unsettled":   {mustardramp.Refusal{Kind: mustardramp.KindUnsettled, Key: "k"}, "ledger settle"},
		"retry after": {mustardramp.Refusal{Kind: mustardramp.KindShed, Verdict: mustardramp.VerdictNotRun(), RetryAfter: 1e9}, "after 1s"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := admin.Advice(test.refusal); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want it to hold %q", got, test.want)
			}
		})
	}
}

// TestAdviceNeverRepeatsWhatMayHaveRun checks for every kind that the advice for a
// request without a key that may have run is never to send it again.
func TestAdviceNeverRepeatsWhatMayHaveRun(t *testing.T) {
	for kind := range mustardramp.KindCount {
		r := mustardramp.Refusal{Kind: kind, Verdict: mustardramp.VerdictMayHaveRun()}
		got := admin.Advice(r)
		if strings.HasPrefix(got, "Send it again") && kind != mustardramp.KindInFlight {
			t.Errorf("kind %s: got %q, want no advice to repeat", kind, got)
		}
	}
}
