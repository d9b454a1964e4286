package quorum

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/link"
)

func TestResequencerOrdersPackets(t *testing.T) {
	packetOf := func(stream, number uint64) packet {
		return packet{Stream: stream, Number: number, Messages: []Message{{Request: number}}}
	}
	for name, tc := range map[string]struct {
		packets []packet
		want    []uint64
	}{
		"in order":            {[]packet{packetOf(7, 0), packetOf(7, 1), packetOf(7, 2)}, []uint64{0, 1, 2}},
		"swapped":             {[]packet{packetOf(7, 1), packetOf(7, 0), packetOf(7, 2)}, []uint64{0, 1, 2}},
		"gap before the last": {[]packet{packetOf(7, 0), packetOf(7, 2)}, []uint64{0}},
		"new stream": {
			[]packet{packetOf(7, 0), packetOf(7, 2), packetOf(8, 0), packetOf(8, 1)},
			[]uint64{0, 0, 1},
		},
		"late packet of an ended stream": {
			[]packet{packetOf(8, 0), packetOf(7, 5), packetOf(8, 1)},
			[]uint64{0, 5, 1},
		},
		"restarted host": {
			[]packet{packetOf(1<<40, 0), packetOf(8, 0), packetOf(8, 1)},
			[]uint64{0, 0, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r resequencer
			var got []uint64
			for _, p := range tc.packets {
				for _, m := range r.accept(p) {
					got = append(got, m.Request)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestResequencerSkipsLatePacket(t *testing.T) {
	var r resequencer
	var got []uint64
	take := func(number uint64) {
		for _, m := range r.accept(packet{Number: number, Messages: []Message{{Request: number}}}) {
			got = append(got, m.Request)
		}
	}
	for number := uint64(1); number <= maxBufferedPackets+2; number++ {
		take(number)
	}
	if len(got) != maxBufferedPackets+2 || !slices.IsSorted(got) {
		t.Errorf("got %v, want %d in order", got, maxBufferedPackets+2)
	}
	take(0)
	if last := got[len(got)-1]; last != 0 {
		t.Errorf("got message %d last, want 0 from the late packet", last)
	}
}

// linkedMember is a member with its own listener on loopback.
type linkedMember struct {
	group   *Group
	links   *Links
	server  *link.Server
	address netip.AddrPort
	stop    func()
}

// startLinkedMembers starts members that communicate over TCP. They use real files
// in the folder, or fake disks if the folder is empty.
func startLinkedMembers(tb testing.TB, size int, folder string, machine func() mustardramp.StateMachine) []*linkedMember {
	tb.Helper()
	var hosts []mustardramp.HostName
	listeners := map[mustardramp.HostName]net.Listener{}
	for i := range size {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", i+1))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		hosts = append(hosts, host)
		listeners[host] = listener
	}
	var members []*linkedMember
	for _, host := range hosts {
		peers := map[mustardramp.HostName]link.Invoker{}
		for _, peer := range hosts {
			if peer != host {
				address := netip.MustParseAddrPort(listeners[peer].Addr().String())
				peers[peer] = &link.Client{Address: address}
			}
		}
		members = append(members, startLinkedMember(tb, host, hosts, peers, listeners[host], folder, machine()))
	}
	return members
}

func startLinkedMember(tb testing.TB, host mustardramp.HostName, hosts []mustardramp.HostName, peers map[mustardramp.HostName]link.Invoker, listener net.Listener, folder string, machine mustardramp.StateMachine) *linkedMember {
	tb.Helper()
	config := Config{
		Group:     "linked",
		Host:      host,
		Hosts:     hosts,
		Folder:    "data",
		Disk:      &disk.Fake{},
		Machine:   machine,
		Transport: NewLinks("linked", host, peers),
	}
	if folder != "" {
		config.Disk = disk.System{}
		config.Folder = folder + "/" + string(host)
	}
	g, err := Open(config)
	if err != nil {
		tb.Fatal(err)
	}
	m := &linkedMember{
		group:   g,
		links:   config.Transport.(*Links),
		server:  &link.Server{},
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	m.links.Serve(&m.server.Router, g)
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return m.server.Serve(ctx, listener) })
	work.Go(func() error { return m.links.Run(ctx) })
	work.Go(func() error { return g.Run(ctx) })
	stopped := false
	m.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := work.Wait(); err != nil {
			tb.Errorf("%s: %v", host, err)
		}
		for _, peer := range peers {
			_ = peer.(*link.Client).Close()
		}
	}
	tb.Cleanup(m.stop)
	return m
}

func TestGroupOverLinks(t *testing.T) {
	members := startLinkedMembers(t, 3, "", func() mustardramp.StateMachine { return &recordingMachine{} })
	for i, m := range members {
		command := fmt.Appendf(nil, "command %d", i)
		got, err := m.group.Propose(t.Context(), command)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, command) {
			t.Errorf("got %q, want %q", got, command)
		}
		if err := m.group.Confirm(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}
