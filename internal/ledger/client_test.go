package ledger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

const testRegion = "kolkata"

// instant is a log of one member in memory. While deaf it commits commands and
// loses their results.
type instant struct {
	mu      sync.Mutex
	machine mustardramp.Machine
	deaf    bool
	follows bool
	commits int
}

// IsLeading tells desks which member to prefer.
func (l *instant) IsLeading() bool {
	return !l.follows
}

var errLost = errors.New("lost on purpose")

func (l *instant) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits++
	reply := l.machine.Apply(0, command)
	if l.deaf {
		return nil, errLost
	}
	return reply, nil
}

func (l *instant) Confirm(context.Context) error {
	return nil
}

func (l *instant) setDeaf(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf = deaf
}

// region is a ledger of two desks over one state, reached over loopback.
type region struct {
	t       *testing.T
	state   *State
	logs    []*instant
	members []link.Caller
}

func newRegion(t *testing.T) *region {
	r := &region{t: t, state: &State{}}
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	for _, name := range []mustardramp.HostName{"control-1", "control-2"} {
		log := &instant{machine: r.state}
		desk := &Desk{Region: testRegion, Member: name, State: r.state, Log: log}
		server := &link.Server{}
		desk.Serve(&server.Router)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		work.Go(func() error { return server.Serve(ctx, listener) })
		client := &link.Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
		t.Cleanup(func() { _ = client.Close() })
		r.logs = append(r.logs, log)
		r.members = append(r.members, client)
	}
	t.Cleanup(func() {
		cancel()
		if err := work.Wait(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// client returns an entry host's ledger, with its Run beside it.
func (r *region) client(host mustardramp.HostName) *Client {
	c := NewClient(host, 1, map[mustardramp.Region][]link.Caller{testRegion: r.members})
	ctx, cancel := context.WithCancel(context.Background())
	var work errgroup.Group
	work.Go(func() error { return c.Run(ctx) })
	r.t.Cleanup(func() {
		cancel()
		if err := work.Wait(); err != nil {
			r.t.Error(err)
		}
	})
	return c
}

func homeClaim(host mustardramp.HostName) mustardramp.Claim {
	c := claimOf(host, 1)
	c.Home = testRegion
	return c
}

func settlementOf(host mustardramp.HostName, attempt uint64, outcome mustardramp.Outcome) mustardramp.Settlement {
	return mustardramp.Settlement{
		ID:          homeClaim(host).ID,
		Home:        testRegion,
		Host:        host,
		Incarnation: 1,
		Attempt:     attempt,
		Outcome:     outcome,
	}
}

func wantReply(t *testing.T, c *Client, claim mustardramp.Claim, state mustardramp.ClaimState, attempt uint64) {
	t.Helper()
	got, err := c.Claim(t.Context(), claim)
	if err != nil {
		t.Fatal(err)
	}
	if got.State != state || got.Attempt != attempt {
		t.Errorf("got %+v, want state %d, attempt %d", got, state, attempt)
	}
}

func TestLostAnswerIsNoSecondGrant(t *testing.T) {
	r := newRegion(t)
	r.logs[0].setDeaf(true)
	wantReply(t, r.client("entry-1"), homeClaim("entry-1"), mustardramp.ClaimGranted, 1)
	wantReply(t, r.client("entry-2"), homeClaim("entry-2"), mustardramp.ClaimRunning, 1)
}

func TestClaimGrantedUnheardIsFreed(t *testing.T) {
	r := newRegion(t)
	for _, log := range r.logs {
		log.setDeaf(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := r.client("entry-1").Claim(ctx, homeClaim("entry-1")); err == nil {
		t.Fatal("Claim: got no error, want one")
	}
	for _, log := range r.logs {
		log.setDeaf(false)
	}
	other := r.client("entry-2")
	for {
		got, err := other.Claim(t.Context(), homeClaim("entry-2"))
		if err != nil {
			t.Fatal(err)
		}
		if got.State == mustardramp.ClaimGranted {
			return
		}
		if got.State != mustardramp.ClaimRunning {
			t.Fatalf("got %+v, want it running until it is granted", got)
		}
	}
}

func TestOutcomesReachDuplicatesAndOperators(t *testing.T) {
	r := newRegion(t)
	first, second := r.client("entry-1"), r.client("entry-2")
	wantReply(t, first, homeClaim("entry-1"), mustardramp.ClaimGranted, 1)
	commits := r.logs[0].commits
	wantReply(t, second, homeClaim("entry-2"), mustardramp.ClaimRunning, 1)
	if got := r.logs[0].commits; got != commits {
		t.Errorf("got %d commits for a duplicate that waits, want none", got-commits)
	}
	if err := first.Settle(t.Context(), settlementOf("entry-1", 1, mustardramp.MayHaveRun)); err != nil {
		t.Fatal(err)
	}
	wantReply(t, second, homeClaim("entry-2"), mustardramp.ClaimUnsettled, 1)
	id := homeClaim("").ID
	view, found, err := second.Show(t.Context(), id)
	if err != nil || !found || view.State != Unknown {
		t.Fatalf("Show: got %+v, %v, %v, want an unknown entry", view, found, err)
	}
	view, err = second.Decide(t.Context(), id, mustardramp.NotRun, Who{"op", "asked the bench"})
	if err != nil || view.State != Free {
		t.Fatalf("Decide: got %+v, %v, want a free entry", view, err)
	}
	if err := first.Settle(t.Context(), settlementOf("entry-1", 1, mustardramp.Ran)); err != nil {
		t.Errorf("Settle after a Decision: got %v, want it to be done with", err)
	}
	wantReply(t, second, homeClaim("entry-2"), mustardramp.ClaimGranted, 2)
	if _, err := second.Decide(t.Context(), id, mustardramp.Ran, Who{"op", "late"}); !isRefused(err) {
		t.Errorf("Decide on a running operation: got %v, want a refusal", err)
	}
}

func TestClientFindsTheLeader(t *testing.T) {
	r := newRegion(t)
	r.logs[0].follows = true
	client := r.client("entry-1")
	const claims = 10
	for i := range claims {
		claim := homeClaim("entry-1")
		claim.ID.Key = mustardramp.OperationKey(rune('a' + i))
		wantReply(t, client, claim, mustardramp.ClaimGranted, 1)
	}
	if got := r.logs[0].commits; got != 1 {
		t.Errorf("got %d commits through the member that follows, want 1", got)
	}
}

func TestUnknownRegionIsRefused(t *testing.T) {
	c := newRegion(t).client("entry-1")
	claim := homeClaim("entry-1")
	claim.Home = "elsewhere"
	if _, err := c.Claim(t.Context(), claim); !Error.Has(err) {
		t.Errorf("got %v, want a ledger error", err)
	}
}
