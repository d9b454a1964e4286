package host

import (
	"context"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/quota"
	"github.com/mustardramp/mustardramp/internal/registry"
)

// Run serves until ctx ends or the host is drained, and then until the requests
// in flight have ended. The end of abort ends them at once.
func (e *Entry) Run(ctx, abort context.Context) error {
	klog.InfoS("entry-started", "host", e.config.Name, "traffic", e.TrafficAddress(), "announce", e.AnnounceAddress(),
		"admin", e.AdminAddress(), "link", e.LinkAddress())
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	e.watchRecords()
	group.Go(func() error { return e.server.Serve(inner, e.linkListener) })
	group.Go(func() error { return e.exchange.Run(inner) })
	group.Go(func() error { return e.ledger.Run(inner) })
	group.Go(func() error { return every(inner, stepInterval, e.step) })
	group.Go(func() error { return every(inner, lease.PressureInterval, e.reportPressure) })
	group.Go(func() error { return every(inner, lease.StepInterval, func() { e.services.step(inner) }) })
	group.Go(func() error { return every(inner, quota.StepInterval, e.quotas.Step) })
	if e.announceListener != nil {
		announcements := e.guards.newSide("announcements", false)
		group.Go(func() error { return serveHTTP(inner, e.announceListener, nil, e.announcementHandler(), announcements) })
	}
	admin := e.guards.newSide("administration", e.tlsConfigs.admin != nil)
	group.Go(func() error { return serveHTTP(inner, e.adminListener, e.tlsConfigs.admin, e.adminHandler(), admin) })
	group.Go(func() error { return every(inner, guardReportInterval, e.guards.report) })
	for _, s := range e.extraServers {
		group.Go(func() error { return s.serve(inner) })
	}
	group.Go(func() error { return e.traffic.Serve(e.trafficListener) })
	group.Go(func() error {
		defer cancel()
		return e.stop(ctx, inner, abort)
	})
	err := group.Wait()
	e.quotas.Close()
	e.links.close()
	// Closing fails for connections that peers closed when they stopped first.
	_ = e.network.Close()
	return err
}

// stop waits until ctx ends, the host is drained or a part of it fails. It then
// stops the traffic gracefully while the other parts still run.
func (e *Entry) stop(ctx, inner, abort context.Context) error {
	cause := "part failed"
	select {
	case <-ctx.Done():
		cause = "signal"
	case <-e.drained:
		cause = "drain"
	case <-inner.Done():
	}
	klog.InfoS("stop-requested", "cause", cause, "index", e.contracts.Index())
	var group errgroup.Group
	group.Go(func() error {
		// The hosts that take over learn what this one knows before they learn that
		// it leaves.
		e.services.sendHandovers(inner)
		e.exchange.Drain()
		e.quotas.Stop()
		return nil
	})
	err := e.traffic.Stop(abort)
	_ = group.Wait()
	return err
}

// watchRecords registers the handlers for records of other hosts.
func (e *Entry) watchRecords() {
	e.exchange.Watch(mustardramp.RecordChange, e.learnChange)
	e.exchange.Watch(mustardramp.RecordBackend, func(r mustardramp.Record) {
		if err := e.roster.Merge(e.clock.Now(), r); err != nil {
			klog.ErrorS(err, "backend-record-refused", "key", r.Key)
		}
	})
	e.exchange.Watch(mustardramp.RecordEvidence, func(r mustardramp.Record) {
		if err := e.ejector.Merge(e.clock.Now(), r); err != nil {
			klog.ErrorS(err, "evidence-refused", "key", r.Key)
		}
	})
	e.exchange.Watch(mustardramp.RecordPressure, e.learnPressure)
}

// learnChange handles a committed change: a new configuration or the departure of a
// backend.
func (e *Entry) learnChange(record mustardramp.Record) {
	if !registry.IsDeparture(record) {
		e.contracts.Merge(record)
		return
	}
	departure, err := registry.DecodeDeparture(record)
	if err != nil {
		klog.ErrorS(err, "leaving-unreadable", "key", record.Key)
		return
	}
	klog.InfoS("backend-leaving", "instance", departure.Instance, "incarnation", departure.Incarnation, "index", departure.Index)
	e.roster.Depart(e.clock.Now(), departure.Instance, departure.Incarnation)
}

// step updates the members of the fleet and decides the standings of all backends.
func (e *Entry) step() {
	isReady := e.exchange.Ready()
	e.current.Store(e.exchange.IsCurrent())
	members := e.exchange.Members()
	e.links.set(members)
	live := e.liveEntryHosts(members)
	e.services.setHosts(live)
	e.setDistances(live)
	e.quotas.SetHosts(namesOf(live), e.electorate(members))
	now := e.clock.Now()
	if err := e.roster.Expire(now, e.ejector.LastWork); err != nil {
		klog.ErrorS(err, "lease-expiry-failed")
	}
	for name, r := range e.services.all() {
		r.update(e.ejector.Step(now, name, e.roster.View(name)))
	}
	if isReady && !e.ready.Load() {
		// The first requests find the backends that came with the configuration.
		e.ready.Store(true)
		close(e.started)
	}
	e.reportEvidence()
}

// liveEntryHosts returns this host and the other entry hosts that are alive or
// only suspect.
func (e *Entry) liveEntryHosts(members []membership.Member) []lease.Host {
	hosts := []lease.Host{{Name: e.config.Name, Place: e.config.Place}}
	for _, m := range members {
		if m.Host.Role == membership.Entry && m.Standing <= membership.Suspect {
			hosts = append(hosts, lease.Host{Name: m.Host.Name, Place: m.Host.Place})
		}
	}
	return hosts
}

// setDistances records how far the live entry hosts are.
func (e *Entry) setDistances(live []lease.Host) {
	distances := make(map[mustardramp.HostName]mustardramp.Distance, len(live))
	for _, h := range live {
		distances[h.Name] = e.config.Place.To(h.Place)
	}
	e.distances.Store(&distances)
}

// distanceTo returns the distance of an entry host. An unknown one counts as far.
func (e *Entry) distanceTo(host mustardramp.HostName) mustardramp.Distance {
	if known := e.distances.Load(); known != nil {
		if d, ok := (*known)[host]; ok {
			return d
		}
	}
	return mustardramp.AcrossRegions
}

// electorate returns this host and the other entry hosts that are members of the fleet,
// lost ones included. A host that states that it leaves no longer counts.
func (e *Entry) electorate(members []membership.Member) []mustardramp.HostName {
	names := []mustardramp.HostName{e.config.Name}
	for _, m := range members {
		if m.Host.Role == membership.Entry && !m.Host.Leaving {
			names = append(names, m.Host.Name)
		}
	}
	return names
}

func namesOf(hosts []lease.Host) []mustardramp.HostName {
	names := make([]mustardramp.HostName, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// reportEvidence spreads this host's evidence on backends when it is due.
func (e *Entry) reportEvidence() {
	record, due, err := e.ejector.Due(e.clock.Now())
	if err != nil {
		klog.ErrorS(err, "evidence-not-reported")
	}
	if due {
		e.exchange.Offer(record)
	}
}

// reportPressure spreads the lengths of the queues that this host keeps.
func (e *Entry) reportPressure() {
	for name, r := range e.services.all() {
		records, err := r.pool.Pressure()
		if err != nil {
			klog.ErrorS(err, "pressure-not-reported", "service", name)
			continue
		}
		e.exchange.OfferAll(records)
	}
}

// learnPressure handles the queue lengths of another host.
func (e *Entry) learnPressure(record mustardramp.Record) {
	pressure, err := lease.DecodePressure(record)
	if err != nil {
		klog.ErrorS(err, "pressure-refused", "key", record.Key)
		return
	}
	r := e.services.lookup(pressure.Service)
	if r == nil {
		return
	}
	if err := r.pool.ApplyPressure(record); err != nil {
		klog.ErrorS(err, "pressure-refused", "key", record.Key)
	}
}
