package placement_test

import (
	"reflect"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/setting"
)

func member(name, zone, region string) setting.Member {
	return setting.Member{
		Name:  mustardramp.HostName(name),
		Place: mustardramp.Place{Zone: mustardramp.Zone(zone), Region: mustardramp.Region(region)},
	}
}

func TestGroups(t *testing.T) {
	five := []setting.Member{
		member("c1", "kol-a", "kolkata"), member("c2", "kol-b", "kolkata"), member("c3", "sil-a", "siliguri"),
		member("c4", "sil-b", "siliguri"), member("c5", "kol-a", "kolkata"),
	}
	tests := map[string]struct {
		members []setting.Member
		want    map[string][]mustardramp.HostName
	}{
		"five hosts in two regions": {five, map[string][]mustardramp.HostName{
			"contracts": {"c1", "c2", "c3", "c4", "c5"}, "ledger-kolkata": {"c1", "c2", "c3"}, "ledger-siliguri": {"c3", "c4", "c1"},
		}},
		"other order": {[]setting.Member{five[4], five[2], five[0], five[3], five[1]}, map[string][]mustardramp.HostName{
			"contracts": {"c1", "c2", "c3", "c4", "c5"}, "ledger-kolkata": {"c1", "c2", "c3"}, "ledger-siliguri": {"c3", "c4", "c1"},
		}},
		"one host":  {five[:1], map[string][]mustardramp.HostName{"contracts": {"c1"}, "ledger-kolkata": {"c1"}}},
		"two hosts": {five[:2], map[string][]mustardramp.HostName{"contracts": {"c1", "c2"}, "ledger-kolkata": {"c1"}}},
		"three hosts, one alone in its region": {five[:3], map[string][]mustardramp.HostName{
			"contracts": {"c1", "c2", "c3"}, "ledger-kolkata": {"c1", "c2", "c3"}, "ledger-siliguri": {"c3", "c1", "c2"},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[string][]mustardramp.HostName{}
			for _, g := range placement.Groups(test.members) {
				got[g.Name] = g.Hosts
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestLedgerSurvivesAnyZone checks that the loss of any one zone leaves each
// ledger group a majority if each of two regions has two control hosts.
func TestLedgerSurvivesAnyZone(t *testing.T) {
	members := []setting.Member{
		member("c1", "kol-a", "kolkata"), member("c2", "kol-b", "kolkata"),
		member("c3", "sil-a", "siliguri"), member("c4", "sil-b", "siliguri"),
	}
	zoneOf := map[mustardramp.HostName]mustardramp.Zone{}
	for _, m := range members {
		zoneOf[m.Name] = m.Place.Zone
	}
	for _, g := range placement.Groups(members) {
		if g.Region == "" {
			continue
		}
		lost := map[mustardramp.Zone]int{}
		for _, h := range g.Hosts {
			lost[zoneOf[h]]++
		}
		for zone, n := range lost {
			if got, want := len(g.Hosts)-n, len(g.Hosts)/2+1; got < want {
				t.Errorf("group %s without zone %s: got %d members, want at least %d", g.Name, zone, got, want)
			}
		}
	}
}
