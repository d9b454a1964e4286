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

// memoryLog is an in-memory log of one member. While losesReplies is set, it
// commits commands and returns errors in place of their results.
type memoryLog struct {
	mu           sync.Mutex
	machine      mustardramp.StateMachine
	losesReplies bool
	isFollower   bool
	commits      int
}

// IsLeading reports whether clients should prefer this member.
func (l *memoryLog) IsLeading() bool {
	return !l.isFollower
}

var errReplyLost = errors.New("reply lost by the test")

func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits++
	reply := l.machine.Apply(0, command)
	if l.losesReplies {
		return nil, errReplyLost
	}
	return reply, nil
}

func (l *memoryLog) Confirm(context.Context) error {
	return nil
}

func (l *memoryLog) setLosesReplies(losesReplies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losesReplies = losesReplies
}

// testGroup is a ledger that two members serve from one state over loopback.
type testGroup struct {
	t       *testing.T
	state   *State
	logs    []*memoryLog
	members []link.Invoker
}

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{t: t, state: &State{}}
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	for _, name := range []mustardramp.HostName{"control-1", "control-2"} {
		log := &memoryLog{machine: g.state}
		ledgerServer := &Server{Region: testRegion, Member: name, State: g.state, Log: log}
		server := &link.Server{}
		ledgerServer.Serve(&server.Router)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		work.Go(func() error { return server.Serve(ctx, listener) })
		client := &link.Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
		t.Cleanup(func() { _ = client.Close() })
		g.logs = append(g.logs, log)
		g.members = append(g.members, client)
	}
	t.Cleanup(func() {
		cancel()
		if err := work.Wait(); err != nil {
			t.Error(err)
		}
	})
	return g
}

// client returns the client of an entry host, with its Run running.
func (g *testGroup) client(host mustardramp.HostName) *Client {
	c := NewClient(host, 1, map[mustardramp.Region][]link.Invoker{testRegion: g.members})
	ctx, cancel := context.WithCancel(context.Background())
	var work errgroup.Group
	work.Go(func() error { return c.Run(ctx) })
	g.t.Cleanup(func() {
		cancel()
		if err := work.Wait(); err != nil {
			g.t.Error(err)
		}
	})
	return c
}

func regionClaim(host mustardramp.HostName) mustardramp.Claim {
	c := testClaim(host, 1)
	c.Home = testRegion
	return c
}

func testSettlement(host mustardramp.HostName, attempt uint64, outcome mustardramp.Outcome) mustardramp.Settlement {
	return mustardramp.Settlement{
		ID:          regionClaim(host).ID,
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

func TestLostReplyGrantsOnce(t *testing.T) {
	g := newTestGroup(t)
	g.logs[0].setLosesReplies(true)
	wantReply(t, g.client("entry-1"), regionClaim("entry-1"), mustardramp.ClaimGranted, 1)
	wantReply(t, g.client("entry-2"), regionClaim("entry-2"), mustardramp.ClaimRunning, 1)
}

func TestClaimWithLostReplyIsFreed(t *testing.T) {
	g := newTestGroup(t)
	for _, log := range g.logs {
		log.setLosesReplies(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := g.client("entry-1").Claim(ctx, regionClaim("entry-1")); err == nil {
		t.Fatal("Claim: got no error, want one")
	}
	for _, log := range g.logs {
		log.setLosesReplies(false)
	}
	other := g.client("entry-2")
	for {
		got, err := other.Claim(t.Context(), regionClaim("entry-2"))
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

func TestDuplicatesAndOperatorsSeeOutcome(t *testing.T) {
	g := newTestGroup(t)
	first, second := g.client("entry-1"), g.client("entry-2")
	wantReply(t, first, regionClaim("entry-1"), mustardramp.ClaimGranted, 1)
	commits := g.logs[0].commits
	wantReply(t, second, regionClaim("entry-2"), mustardramp.ClaimRunning, 1)
	if got := g.logs[0].commits; got != commits {
		t.Errorf("got %d commits for a duplicate that waits, want none", got-commits)
	}
	if err := first.Settle(t.Context(), testSettlement("entry-1", 1, mustardramp.MayHaveRun)); err != nil {
		t.Fatal(err)
	}
	wantReply(t, second, regionClaim("entry-2"), mustardramp.ClaimUnsettled, 1)
	id := regionClaim("").ID
	view, found, err := second.Show(t.Context(), id)
	if err != nil || !found || view.State != Unknown {
		t.Fatalf("Show: got %+v, %v, %v, want an unknown entry", view, found, err)
	}
	view, err = second.Decide(t.Context(), id, mustardramp.NotRun, Operator{"op", "asked the bench"})
	if err != nil || view.State != Free {
		t.Fatalf("Decide: got %+v, %v, want a free entry", view, err)
	}
	if err := first.Settle(t.Context(), testSettlement("entry-1", 1, mustardramp.Ran)); err != nil {
		t.Errorf("Settle after a Decision: got %v, want no error", err)
	}
	wantReply(t, second, regionClaim("entry-2"), mustardramp.ClaimGranted, 2)
	if _, err := second.Decide(t.Context(), id, mustardramp.Ran, Operator{"op", "late"}); !isRefused(err) {
		t.Errorf("Decide on a running operation: got %v, want a refusal", err)
	}
}

func TestClientPrefersLeader(t *testing.T) {
	g := newTestGroup(t)
	g.logs[0].isFollower = true
	client := g.client("entry-1")
	const claims = 10
	for i := range claims {
		claim := regionClaim("entry-1")
		claim.ID.Key = mustardramp.OperationKey(rune('a' + i))
		wantReply(t, client, claim, mustardramp.ClaimGranted, 1)
	}
	if got := g.logs[0].commits; got != 1 {
		t.Errorf("got %d commits through the member that follows, want 1", got)
	}
}

func TestUnknownRegionIsRefused(t *testing.T) {
	c := newTestGroup(t).client("entry-1")
	claim := regionClaim("entry-1")
	claim.Home = "elsewhere"
	if _, err := c.Claim(t.Context(), claim); !Error.Has(err) {
		t.Errorf("got %v, want a ledger error", err)
	}
}
