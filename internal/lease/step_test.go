package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardramp/mustardramp"
)

// silentPeers are hosts that take calls and never answer.
type silentPeers struct{ Peers }

func (silentPeers) Report(ctx context.Context, _ mustardramp.HostName, _ Report) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentPeers) HandOver(ctx context.Context, _ mustardramp.HostName, _ Handover) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestStepWaitsForSilentHostsInTurn steps the pool of a host that holds slots of other
// keepers and keeps backends itself, while no other host answers. The step must end
// when the calls time out, all at the same time: leases are expired and renewed by it.
func TestStepWaitsForSilentHostsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var standings []mustardramp.Standing
		for i := range 60 {
			standings = append(standings, standing(i, []mustardramp.Place{kolA, kolB, silA}[i%3], 4))
		}
		net := newNetwork(6, standings...)
		defer net.close()
		for _, p := range net.pools {
			for range 40 {
				slot, err := p.Acquire(t.Context(), bulk())
				if err != nil {
					t.Fatal(err)
				}
				slot.Release(mustardramp.ResultError, time.Millisecond)
			}
		}
		calls := 0
		for _, p := range net.pools {
			for range 10 {
				slot, err := p.Acquire(t.Context(), bulk())
				if err != nil {
					t.Fatal(err)
				}
				defer slot.Release(mustardramp.ResultSuccess, time.Minute)
			}
			p.config.Peers = silentPeers{net}
			began := time.Now()
			p.Step(t.Context())
			took := time.Since(began)
			if took > 0 {
				calls++
			}
			if took > reportTimeout {
				t.Errorf("%s: got a step of %v, want at most %v", p.config.Holder.Host, took, reportTimeout)
			}
			p.config.Peers = net
		}
		if calls == 0 {
			t.Error("got no call to a silent host, want some")
		}
	})
}
