package host

import "github.com/mustardramp/mustardramp"

const (
	// updateLinkShare is the share of an entry host's link for records of changes,
	// backends and hosts, beyond the default rate of the exchange. In a fleet of a
	// hundred hosts, whose backends are replaced during changes of the configuration,
	// the default rate alone kept joined backends unknown to most hosts for over 10 s.
	updateLinkShare = 1.0 / 20
	// maxUpdateRate bounds the rate on links that are much faster than these records
	// need.
	maxUpdateRate mustardramp.Bytes = 32 << 10
)

// updateRate returns the bytes a second that an entry host may send to spread such
// records beyond the default rate, for the rate of its link. It is 0 for a link
// without a rate.
func updateRate(link mustardramp.Bytes) mustardramp.Bytes {
	return min(mustardramp.Bytes(updateLinkShare*float64(max(0, link))), maxUpdateRate)
}
