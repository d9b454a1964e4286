package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// IdlePerHost is the number of idle connections that one host keeps to a
	// backend.
	IdlePerHost = 2
	// doubleGrants is the number of times that the slots may be in use under a
	// partition.
	doubleGrants = 2
	// deviations is the distance, in standard deviations, of the mean number
	// of hosts that keep idle connections from the most that may: the hosts
	// are drawn, so their number varies.
	deviations = 5
)

// KeepAlive reports whether this host keeps idle connections to a backend.
// While the fleet is small each host does; beyond that each backend is kept by
// a subset of hosts that rendezvous hashing draws, and the others close their
// connection after each answer, so that the backend's limit holds whatever the
// number of hosts.
func (p *Pool) KeepAlive(backend *mustardramp.Backend) bool {
	hosts := p.plan.Load().hosts
	return keepsIdle(p.config.Holder.Host, backend, hosts)
}

func keepsIdle(host mustardramp.HostName, backend *mustardramp.Backend, hosts int) bool {
	free := backend.Connections - doubleGrants*int(backend.Slots)
	if hosts*IdlePerHost <= free {
		return true
	}
	part := meanBelow(float64(free)/IdlePerHost) / float64(hosts)
	draw := mix(xxhash.Sum64String(string(host)) ^ mix(xxhash.Sum64String(string(backend.ID))))
	return float64(draw) < part*math.MaxUint64
}

// meanBelow returns the mean of a Poisson distribution that stays below most by
// the deviations: the m for which m + deviations*sqrt(m) = most.
func meanBelow(most float64) float64 {
	if most <= 0 {
		return 0
	}
	root := (math.Sqrt(deviations*deviations+4*most) - deviations) / 2
	return root * root
}

// KeepAlive reports whether the connection of the attempt may be kept.
func (s *slot) KeepAlive() bool {
	return s.pool.KeepAlive(&s.backend)
}

// KeepAlive reports whether the connection of the attempt may be kept.
func (s *ownSlot) KeepAlive() bool {
	backend := s.Backend()
	return s.pool.KeepAlive(&backend)
}
