package status

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/mustardramp/mustardramp/gen/fleet"
)

const (
	// nameWidth is the longest name printed whole; the page has 80 columns.
	nameWidth = 18
	columnGap = 2
)

// Page returns the status as text of 80 columns.
func Page(s *fleet.FleetStatus) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seen by %s at %s, configuration %d\n", s.Host, s.At, s.Index)
	hosts(&b, s)
	services(&b, s)
	ranks(&b, s)
	groups(&b, s)
	links(&b, s)
	return b.String()
}

func table(b *strings.Builder, rows func(w *tabwriter.Writer)) {
	b.WriteByte('\n')
	w := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	rows(w)
	_ = w.Flush()
}

// hosts prints the number of hosts by role, state and configuration, and by
// name those that need a look.
func hosts(b *strings.Builder, s *fleet.FleetStatus) {
	type class struct {
		role, state, zone string
		index             uint64
	}
	counts := map[class]int{}
	var odd []string
	for _, h := range s.Hosts {
		counts[class{h.Role, h.State, h.Zone, h.Index}]++
		if h.State != "alive" || h.Index < s.Index {
			odd = append(odd, h.Name)
		}
	}
	classes := make([]class, 0, len(counts))
	for c := range counts {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool { return fmt.Sprint(classes[i]) < fmt.Sprint(classes[j]) })
	table(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "HOSTS\tROLE\tZONE\tSTATE\tCONFIGURATION")
		for _, c := range classes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\n", counts[c], c.role, c.zone, c.state, c.index)
		}
	})
	if len(odd) > 0 {
		fmt.Fprintf(b, "look at: %s\n", shorten(strings.Join(odd, " "), 70))
	}
}

func services(b *strings.Builder, s *fleet.FleetStatus) {
	if len(s.Services) == 0 {
		return
	}
	table(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tREV\tBACKENDS\tSLOTS\tUSABLE\tFLOOR\tHEADROOM\tEJECTED")
		for _, v := range s.Services {
			ejected := "-"
			if len(v.Ejected) > 0 {
				ejected = shorten(strings.Join(v.Ejected, " "), 2*nameWidth)
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", shorten(v.Service, nameWidth), v.Revision, v.Backends,
				v.ServingSlots, v.UsableSlots, v.FloorSlots, v.UsableSlots-v.FloorSlots, ejected)
		}
	})
}

func ranks(b *strings.Builder, s *fleet.FleetStatus) {
	var used []*fleet.RankStatus
	for _, r := range s.Ranks {
		if r.Queued+r.InFlight > 0 || r.Served+r.Refused > 0 {
			used = append(used, r)
		}
	}
	if len(used) == 0 {
		return
	}
	table(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tRANK\tQUEUED\tIN FLIGHT\tSERVED\tREFUSED")
		for _, r := range used {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", shorten(r.Service, nameWidth), r.Rank, r.Queued, r.InFlight, r.Served, r.Refused)
		}
	})
}

func groups(b *strings.Builder, s *fleet.FleetStatus) {
	if len(s.Groups) == 0 {
		return
	}
	table(b, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tCOMMITTED\tHERE\tMEMBERS")
		for _, g := range s.Groups {
			leader := g.Leader
			if leader == "" {
				leader = "none"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", shorten(g.Group, nameWidth), leader, g.Term, g.Committed, g.Role,
				shorten(strings.Join(g.Members, " "), 2*nameWidth))
		}
	})
}

func links(b *strings.Builder, s *fleet.FleetStatus) {
	var own, across int64
	for _, l := range s.Links {
		if l.Crosses {
			across += l.Sent + l.Received
			continue
		}
		own += l.Sent + l.Received
	}
	fmt.Fprintf(b, "\nlinks of this host: %d, bytes in the region %d, across regions %d\n", len(s.Links), own, across)
}

func shorten(s string, width int) string {
	if len(s) <= width {
		return s
	}
	return s[:width-1] + "…"
}
