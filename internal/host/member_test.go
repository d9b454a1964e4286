package host

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/quorum"
	"github.com/mustardramp/mustardramp/internal/registry"
)

// discardTransport is the transport of a group with one member. It drops all
// messages.
type discardTransport struct{}

// Send implements quorum.Transport.
func (discardTransport) Send(mustardramp.HostName, quorum.Message) {}

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
	}, func() error { return emptyState(&state) })
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
