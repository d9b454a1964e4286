package host

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/quorum"
	"github.com/mustardramp/mustardramp/internal/registry"
)

// discardTransport is the transport of a group with one member. It drops all
// messages.
type discardTransport struct{}

// Send implements quorum.Transport.
func (discardTransport) Send(mustardramp.HostName, quorum.Message) {}

// Forget implements quorum.Transport.
func (discardTransport) Forget(mustardramp.HostName) {}

// TestMemberRecoversFromFullDisk guards against a member that stops for good, or
// acknowledges or loses changes, when its disk is full. Nothing is acknowledged
// while the disk is full; all that was acknowledged is there once it has space.
func TestMemberRecoversFromFullDisk(t *testing.T) {
	var full atomic.Bool
	fake := &disk.Fake{Fail: func(op disk.Operation, name string) error {
		if full.Load() && op == disk.OperationWrite {
			return fmt.Errorf("%s: %w", name, syscall.ENOSPC)
		}
		return nil
	}}
	var state registry.State
	m, err := openMember(quorum.Config{
		Group: "contracts", Host: "host-1", Hosts: []mustardramp.HostName{"host-1"}, Folder: "data",
		Disk: fake, Machine: &state, Transport: discardTransport{}, Tick: 2 * time.Millisecond,
	}, func() error { return emptyMachine(&state, &registry.State{}) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return m.run(ctx) })
	contracts := registry.Server{State: &state, Log: m}
	leave := func(instance string, timeout time.Duration) error {
		bounded, stop := context.WithTimeout(t.Context(), timeout)
		defer stop()
		return contracts.Leave(bounded, registry.Departure{Instance: instance, Incarnation: 1})
	}
	if err := leave("before", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	if err := leave("during", 300*time.Millisecond); err == nil {
		t.Error("got an acknowledgement on a full disk, want none")
	}
	full.Store(false)
	for deadline := time.Now().Add(20 * time.Second); ; {
		if err := leave("after", time.Second); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("got no acknowledgement once the disk had space, want one")
		}
	}
	if err := m.Confirm(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, instance := range []string{"before", "after"} {
		if !state.HasLeft(instance, 1) {
			t.Errorf("acknowledged departure of instance %q: got none, want it kept", instance)
		}
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestLedgerMemberRecoversFromFullDisk guards against a control host whose process
// ends because the disk of a ledger's group is full. The claims that were granted
// before are still there once it has space.
func TestLedgerMemberRecoversFromFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFaultyDisk(func(op disk.Operation) bool { return op == disk.OperationWrite })
		state := &ledger.State{}
		m, err := openMember(quorum.Config{
			Group: "ledger", Host: "host-1", Hosts: []mustardramp.HostName{"host-1"}, Folder: "data", Disk: d,
			Machine: state, Transport: discardTransport{}, SnapshotBytes: 100,
		}, func() error { return emptyMachine(state, &ledger.State{}) })
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return m.run(ctx) })
		claim := func(key mustardramp.OperationKey) error {
			bounded, stop := context.WithTimeout(t.Context(), 5*time.Second)
			defer stop()
			command := ledger.Command{Member: "host-1", At: 1, Claim: &ledger.ClaimRequest{
				Claim: mustardramp.Claim{ID: mustardramp.ClaimID{Service: "mohor", Key: key}, Host: "entry-1", Incarnation: 1, Keep: time.Hour},
			}}
			encoded, err := command.Encode()
			if err != nil {
				return err
			}
			_, err = m.Propose(bounded, encoded)
			return err
		}
		if err := claim("before"); err != nil {
			t.Fatal(err)
		}
		d.full.Store(true)
		if err := claim("during"); err == nil {
			t.Error("got a claim on a full disk, want none")
		}
		time.Sleep(3 * time.Second)
		d.full.Store(false)
		time.Sleep(3 * time.Second)
		if err := claim("after"); err != nil {
			t.Errorf("got %v once the disk had space, want the claim", err)
		}
		for _, key := range []mustardramp.OperationKey{"before", "after"} {
			if _, ok := state.Show(mustardramp.ClaimID{Service: "mohor", Key: key}); !ok {
				t.Errorf("claim %q: got none, want it kept", key)
			}
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("got %v, want the process to live", err)
		}
	})
}
