package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// IdleConnectionsPerHost is the number of idle connections that one host keeps
	// to a backend.
	IdleConnectionsPerHost = 2
	// partitionFactor is how many times each slot may be in use during a network
	// partition.
	partitionFactor = 2
	// marginDeviations is the margin, in standard deviations, between the mean
	// number of hosts that keep idle connections and the limit. The hosts are
	// selected by hash, so their number varies.
	marginDeviations = 5
)

// KeepAlive reports whether this host keeps idle connections to a backend.
// In a small fleet every host does. In a larger one a subset of hosts, selected for
// each backend by rendezvous hashing, keeps them, and the other hosts close the
// connection after each answer, so that the backend's connection limit holds for
// any number of hosts.
func (p *Pool) KeepAlive(backend *mustardramp.Backend) bool {
	hosts := p.plan.Load().hostCount
	return keepsIdle(p.config.Holder.Host, backend, hosts)
}

// keepsIdle reports whether the host keeps idle connections to the backend in a
// fleet of the given number of hosts.
func keepsIdle(host mustardramp.HostName, backend *mustardramp.Backend, hosts int) bool {
	idleLimit := backend.Connections - partitionFactor*int(backend.Slots)
	if hosts*IdleConnectionsPerHost <= idleLimit {
		return true
	}
	fraction := poissonMean(float64(idleLimit)/IdleConnectionsPerHost) / float64(hosts)
	hash := mix(xxhash.Sum64String(string(host)) ^ mix(xxhash.Sum64String(string(backend.ID))))
	return float64(hash) < fraction*math.MaxUint64
}

// poissonMean returns the mean of a Poisson distribution that stays below limit by
// marginDeviations: the m for which m + marginDeviations*sqrt(m) = limit.
func poissonMean(limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	root := (math.Sqrt(marginDeviations*marginDeviations+4*limit) - marginDeviations) / 2
	return root * root
}

// KeepAlive reports whether the connection of the attempt may be kept.
func (s *slot) KeepAlive() bool {
	return s.pool.KeepAlive(&s.backend)
}

// KeepAlive reports whether the connection of the attempt may be kept.
func (s *localSlot) KeepAlive() bool {
	backend := s.Backend()
	return s.pool.KeepAlive(&backend)
}
