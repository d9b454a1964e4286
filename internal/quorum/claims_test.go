package quorum

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
)

const groupRegion = "kolkata"

// ledgerGroup is a ledger of three members over TCP on loopback.
type ledgerGroup struct {
	tb      testing.TB
	members []*linkedMember
}

// newLedgerGroup starts a ledger. It uses real files in the folder, or fake disks
// if the folder is empty.
func newLedgerGroup(tb testing.TB, folder string) *ledgerGroup {
	tb.Helper()
	var states []*ledger.State
	members := startLinkedMembers(tb, 3, folder, func() mustardramp.StateMachine {
		states = append(states, &ledger.State{})
		return states[len(states)-1]
	})
	for i, m := range members {
		ledgerServer := &ledger.Server{Region: groupRegion, Member: m.group.Status().Self.Host, State: states[i], Log: m.group}
		ledgerServer.Serve(&m.server.Router)
	}
	return &ledgerGroup{tb: tb, members: members}
}

// client returns the ledger client of an entry host.
func (g *ledgerGroup) client(host mustardramp.HostName) *ledger.Client {
	var invokers []link.Invoker
	for _, m := range g.members {
		client := &link.Client{Address: m.address}
		g.tb.Cleanup(func() { _ = client.Close() })
		invokers = append(invokers, client)
	}
	return ledger.NewClient(host, 1, map[mustardramp.Region][]link.Invoker{groupRegion: invokers})
}

func groupClaim(host mustardramp.HostName, number int64) mustardramp.Claim {
	key := mustardramp.OperationKey(fmt.Sprint(number))
	return mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: "mohor", Caller: "bench", Key: key},
		Host:        host,
		Incarnation: 1,
		Home:        groupRegion,
		Keep:        time.Hour,
	}
}

// TestClaimsContinueAfterLeaderLoss has two entry hosts claim the same keys while
// the leader of the ledger stops. No key may be granted to both.
func TestClaimsContinueAfterLeaderLoss(t *testing.T) {
	const keys = 40
	group := newLedgerGroup(t, "")
	grants := [2][keys]bool{}
	var work errgroup.Group
	half := make(chan struct{})
	for n, host := range []mustardramp.HostName{"entry-1", "entry-2"} {
		client := group.client(host)
		work.Go(func() error {
			for number := range int64(keys) {
				if n == 0 && number == keys/2 {
					close(half)
				}
				reply, err := claimUntilAnswered(t.Context(), client, groupClaim(host, number))
				if err != nil {
					return err
				}
				grants[n][number] = reply.State == mustardramp.ClaimGranted
			}
			return nil
		})
	}
	<-half
	for _, m := range group.members {
		if m.group.Status().IsLeading() {
			m.stop()
		}
	}
	if err := work.Wait(); err != nil {
		t.Fatal(err)
	}
	for number := range keys {
		if grants[0][number] && grants[1][number] {
			t.Errorf("key %d: got two grants, want at most one", number)
		}
	}
}

func claimUntilAnswered(ctx context.Context, client *ledger.Client, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	for {
		reply, err := client.Claim(ctx, claim)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
}
