package status

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/mustardramp/mustardramp/gen/fleet"
)

const (
	// nameWidth is the maximum length of a name that is not truncated, so that
	// tables fit in 80 columns.
	nameWidth = 18
	// columnGap is the number of spaces between columns.
	columnGap = 2
)

// Page returns the status as text that fits in 80 columns.
func Page(s *fleet.FleetStatus) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seen by %s at %s, configuration %d\n", s.Host, s.At, s.Index)
	writeHosts(&b, s)
	writeServices(&b, s)
	writeRanks(&b, s)
	writeGroups(&b, s)
	writeLinks(&b, s)
	return b.String()
}

// writeTable writes an empty line and a table with aligned columns.
func writeTable(b *strings.Builder, rows func(w *tabwriter.Writer)) {
	b.WriteByte('\n')
	w := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	rows(w)
	_ = w.Flush()
}

// writeHosts writes the number of hosts by role, zone, state and configuration, and
// the names of the hosts that are not alive or have an older configuration.
func writeHosts(b *strings.Builder, s *fleet.FleetStatus) {
	type hostClass struct {
		role, state, zone string
		index             uint64
	}
	counts := map[hostClass]int{}
	var needAttention []string
	for _, h := range s.Hosts {
		counts[hostClass{h.Role, h.State, h.Zone, h.Index}]++
		if h.State != "alive" || h.Index < s.Index {
			needAttention = append(needAttention, h.Name)
		}
	}
	classes := make([]hostClass, 0, len(counts))
	for c := range counts {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool { return fmt.Sprint(classes[i]) < fmt.Sprint(classes[j]) })
	writeTable(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "HOSTS\tROLE\tZONE\tSTATE\tCONFIGURATION")
		for _, c := range classes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\n", counts[c], c.role, c.zone, c.state, c.index)
		}
	})
	if len(needAttention) > 0 {
		fmt.Fprintf(b, "look at: %s\n", truncate(strings.Join(needAttention, " "), 70))
	}
}

func writeServices(b *strings.Builder, s *fleet.FleetStatus) {
	if len(s.Services) == 0 {
		return
	}
	writeTable(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tREV\tBACKENDS\tSLOTS\tUSABLE\tFLOOR\tHEADROOM\tEJECTED")
		for _, svc := range s.Services {
			ejected := "-"
			if len(svc.Ejected) > 0 {
				ejected = truncate(strings.Join(svc.Ejected, " "), 2*nameWidth)
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", truncate(svc.Service, nameWidth), svc.Revision, svc.Backends,
				svc.ServingSlots, svc.UsableSlots, svc.FloorSlots, svc.UsableSlots-svc.FloorSlots, ejected)
		}
	})
}

// writeRanks writes the ranks that have had requests.
func writeRanks(b *strings.Builder, s *fleet.FleetStatus) {
	var used []*fleet.RankStatus
	for _, r := range s.Ranks {
		if r.Queued+r.InFlight > 0 || r.Served+r.Refused > 0 {
			used = append(used, r)
		}
	}
	if len(used) == 0 {
		return
	}
	writeTable(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tRANK\tQUEUED\tIN FLIGHT\tSERVED\tREFUSED")
		for _, r := range used {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", truncate(r.Service, nameWidth), r.Rank, r.Queued, r.InFlight, r.Served, r.Refused)
		}
	})
}

func writeGroups(b *strings.Builder, s *fleet.FleetStatus) {
	if len(s.Groups) == 0 {
		return
	}
	writeTable(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tCOMMITTED\tHERE\tMEMBERS")
		for _, g := range s.Groups {
			leader := g.Leader
			if leader == "" {
				leader = "none"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", truncate(g.Group, nameWidth), leader, g.Term, g.Committed, g.Role,
				truncate(strings.Join(g.Members, " "), 2*nameWidth))
		}
	})
}

// writeLinks writes the bytes sent and received within the region and across regions.
func writeLinks(b *strings.Builder, s *fleet.FleetStatus) {
	var sameRegion, acrossRegions int64
	for _, l := range s.Links {
		if l.Crosses {
			acrossRegions += l.Sent + l.Received
			continue
		}
		sameRegion += l.Sent + l.Received
	}
	fmt.Fprintf(b, "\nlinks of this host: %d, bytes in the region %d, across regions %d\n", len(s.Links), sameRegion, acrossRegions)
}

// truncate shortens ASCII text to width columns, an ellipsis included.
func truncate(s string, width int) string {
	if len(s) <= width {
		return s
	}
	return s[:width-1] + "…"
}
