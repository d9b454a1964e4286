package host

import (
	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/exchange"
)

const (
	// exchangeLinkShare is the share of an entry host's link for the records of the
	// fleet. The default rate of 4 KiB a second is 2 % of a link of 1.6 Mbit/s; in a
	// fleet of a hundred hosts, whose backends are replaced during changes of the
	// configuration, it kept joined backends unknown to most hosts for over 10 s.
	exchangeLinkShare = 1.0 / 20
	// maxExchangeRate bounds the rate on links that are much faster than the fleet's
	// records need.
	maxExchangeRate mustardramp.Bytes = 32 << 10
)

// exchangeRate returns the bytes a second that an entry host may send to spread records,
// for the rate of its link. A link without a rate, 0, has the default.
func exchangeRate(link mustardramp.Bytes) mustardramp.Bytes {
	if link <= 0 {
		return exchange.DefaultRate
	}
	share := mustardramp.Bytes(exchangeLinkShare * float64(link))
	return max(exchange.DefaultRate, min(share, maxExchangeRate))
}
