package host

import (
	"context"
	"net/http"
	"net/netip"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/announcement"
	"github.com/mustardramp/mustardramp/internal/ejection"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/exchange"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/quota"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// assemble connects the parts of the host. It starts none of them.
func (e *Entry) assemble() {
	config := &e.config
	e.links.tls = e.tlsConfigs.linkClient
	e.server.TLS, e.server.Concurrency = e.tlsConfigs.linkServer, lease.Concurrency
	e.refusals.Limit = config.RefusalBytes
	e.tally.Clock = e.clock
	e.services.holder = lease.Holder{Host: config.Name, Incarnation: e.incarnation}
	e.services.place, e.services.clock, e.services.peers = config.Place, e.clock, &e.network
	e.services.hasDeparted = e.roster.HasDeparted
	e.services.ratio, e.services.slack = config.RetryBudgetRatio, config.RetryBudgetSlack
	e.services.maxLoadAge = config.MaxLoadAge
	e.network.Find = e.links.address
	e.network.New = func(address netip.AddrPort) *link.Client {
		return &link.Client{Address: address, TLS: e.tlsConfigs.linkClient}
	}
	e.quotas = quota.New(quota.Config{
		Self:     quota.Candidate{Host: config.Name, Incarnation: e.incarnation},
		Peers:    &quota.Network{Link: e.network.Invoker},
		Clock:    e.clock,
		Index:    e.contracts.Index,
		Distance: e.distanceTo,
	})
	e.contracts.Remote = &registry.Remote{Hosts: config.controlLinks(e.tlsConfigs.linkClient)}
	e.contracts.Changed = e.services.apply
	e.ejector = ejection.New(config.Name, e.incarnation, config.Place)
	e.ejector.Terms = e.terms
	e.exchange = exchange.New(&e.server.Router, exchange.Options{
		Self:       config.self(membership.Entry, e.LinkAddress(), e.AdminAddress(), e.incarnation),
		Seeds:      config.seeds(),
		TLS:        e.tlsConfigs.linkClient,
		Clock:      config.Clock,
		UpdateRate: updateRate(config.LinkRate),
	})
	e.roster.Send = e.exchange.Offer
	e.roster.Floor = func(s mustardramp.ServiceName) mustardramp.Percent { return e.terms(s).Floor }
	e.ledger = ledger.NewClient(config.Name, e.incarnation, config.ledgerHomes(e.tlsConfigs.linkClient))
	e.handler = entry.New(entry.Config{
		Host:         config.Name,
		Incarnation:  e.incarnation,
		Contracts:    e.currentContracts,
		Started:      e.started,
		IsCurrent:    e.current.Load,
		Services:     &e.services,
		Quotas:       e.quotas,
		Ledger:       e.ledger,
		Observer:     e.ejector,
		Watcher:      e.ejector,
		Leaving:      e.markLeaving,
		Recorder:     &meteredRecorder{RequestRecorder: &e.tally, services: &e.services},
		Clock:        e.clock,
		Refusals:     &e.refusals,
		CallerHeader: config.CallerHeader,
		Headers:      config.Headers,
		LinkRate:     config.LinkRate,
		Account:      &e.guards.account,
	})
	e.traffic = entry.NewServer(e.handler, config.StopDelay, e.tlsConfigs.traffic)
	e.traffic.Guard = e.guards.newMain("callers", e.handler.CallerLimits, e.tlsConfigs.traffic != nil)
	e.traffic.Grace = config.Grace
	e.traffic.Pipeline = config.Pipeline
	e.handlePeerCalls()
}

// handlePeerCalls registers the handlers for the calls of other hosts.
func (e *Entry) handlePeerCalls() {
	lease.Serve(&e.server.Router, func(name mustardramp.ServiceName) *lease.Pool {
		if r := e.services.lookup(name); r != nil {
			return r.pool
		}
		return nil
	})
	quota.Serve(&e.server.Router, e.quotas)
	link.Handle(&e.server.Router, methodState, func(context.Context, struct{}) (hostState, error) {
		return hostState{Index: e.contracts.Index(), Ready: e.ready.Load()}, nil
	})
}

// currentContracts returns the contracts in force, or nil while the host does
// not know a current configuration.
func (e *Entry) currentContracts() *contract.Set {
	if !e.ready.Load() {
		return nil
	}
	return e.contracts.Set()
}

// terms returns the parts of a service's contract that ejection uses, or the
// defaults for a service without a contract.
func (e *Entry) terms(service mustardramp.ServiceName) ejection.Terms {
	if c := e.contracts.Set().Service(service); c != nil {
		return ejection.Terms{Floor: c.Floor, Caution: c.Caution, Ramp: c.Ramp}
	}
	return ejection.Terms{Floor: contract.DefaultFloor, Caution: contract.DefaultCaution}
}

// markLeaving marks a backend as leaving after it stated so in an answer.
func (e *Entry) markLeaving(b mustardramp.Backend) {
	if err := e.roster.Leave(e.clock.Now(), b); err != nil {
		klog.InfoS("leaving-not-recorded", "backend", b.ID, "cause", err)
	}
}

func (e *Entry) announcementHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, announcement.New(announcement.Config{
		Roster:    &e.roster,
		Contracts: e.contracts.Set,
		Clock:     e.clock,
		Tokens:    []string{e.config.AnnounceToken},
	}))
	mux.HandleFunc(ReadyPath, e.traffic.Readiness)
	return mux
}

func (e *Entry) adminHandler() http.Handler {
	return admin.New(admin.Config{
		Host:      e.config.Name,
		Token:     e.config.AdminToken,
		Clock:     e.clock,
		Contracts: &e.contracts,
		Refusals:  &e.refusals,
		Fleet:     &entryView{e},
		Ledger:    ledgerView{e.ledger},

		Workspaces: &entryView{e},
		Requests:   &entryView{e},
		Dial:       dialAdmin(e.config.AdminTLS),
	})
}
