// Package setting checks the settings of a host at its start and reports all
// faults at once.
package setting

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// Fault is one setting that a host cannot start with.
type Fault struct {
	// Flag is the flag's name, such as "--zone".
	Flag   string
	Reason string
	Remedy string
}

// Faults are all settings that a host cannot start with. It is an error when
// it is not empty.
type Faults []Fault

// Error returns the faults in one line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s %s: %s", fault.Flag, fault.Reason, fault.Remedy)
	}
	return strings.Join(lines, "; ")
}

// Checker collects faults. Its zero value works.
type Checker struct {
	faults Faults
	// listeners holds the flag by address, to find clashes.
	listeners map[netip.AddrPort]string
}

// Err returns the faults found, or nil.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

func (c *Checker) fault(flag, reason, remedy string) {
	c.faults = append(c.faults, Fault{Flag: flag, Reason: reason, Remedy: remedy})
}

// Name checks the name of a host.
func (c *Checker) Name(flag, name string) {
	if name == "" {
		c.fault(flag, "is empty", "give the host a name that no other has")
		return
	}
	for _, r := range name {
		plain := r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-'
		if !plain {
			c.fault(flag, fmt.Sprintf("%q is not a plain name", name), "use a-z, 0-9 and dashes")
			return
		}
	}
}

// Place checks a zone and its region against the known zones. With no known
// zones any pair of names will do.
func (c *Checker) Place(place mustardramp.Place, zones map[mustardramp.Zone]mustardramp.Region) {
	if place.Zone == "" {
		c.fault("--zone", "is empty", "name the availability zone")
	}
	if place.Region == "" {
		c.fault("--region", "is empty", "name the region")
	}
	if len(zones) == 0 || place.Zone == "" {
		return
	}
	region, ok := zones[place.Zone]
	if !ok {
		c.fault("--zone", fmt.Sprintf("%q is unknown", place.Zone), "use one of "+zoneNames(zones))
		return
	}
	if region != place.Region {
		c.fault("--region", fmt.Sprintf("%q does not hold zone %q", place.Region, place.Zone), fmt.Sprintf("use %q", region))
	}
}

func zoneNames(zones map[mustardramp.Zone]mustardramp.Region) string {
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, string(z))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Address checks an "ip:port" and returns it.
func (c *Checker) Address(flag, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.fault(flag, fmt.Sprintf("%q is not ip:port", text), "write an IP number and a port, such as 127.0.0.1:7001")
		return netip.AddrPort{}
	}
	return address
}

// Listener checks an address to listen on: that no other flag has it and that
// the port is free.
func (c *Checker) Listener(flag, text string) netip.AddrPort {
	address := c.Address(flag, text)
	if !address.IsValid() || address.Port() == 0 {
		return address
	}
	if other, ok := c.listeners[address]; ok {
		c.fault(flag, fmt.Sprintf("%s clashes with %s", address, other), "give each its own port")
		return address
	}
	if c.listeners == nil {
		c.listeners = map[netip.AddrPort]string{}
	}
	c.listeners[address] = flag
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		c.fault(flag, fmt.Sprintf("%s cannot be listened on (%v)", address, err), "free the port or take another")
		return address
	}
	_ = listener.Close()
	return address
}

// Folder checks that a data folder exists or can be made, and can be written.
func (c *Checker) Folder(flag, path string) {
	if path == "" {
		c.fault(flag, "is empty", "name a folder on a disk that lasts")
		return
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		c.fault(flag, fmt.Sprintf("%q cannot be made (%v)", path, err), "name a folder that the process may write")
		return
	}
	probe, err := os.CreateTemp(path, ".probe-*")
	if err != nil {
		c.fault(flag, fmt.Sprintf("%q cannot be written (%v)", path, err), "name a folder that the process may write")
		return
	}
	_ = probe.Close()
	_ = os.Remove(probe.Name())
}

// Pair checks that two files are given together and can be read.
func (c *Checker) Pair(certFlag, cert, keyFlag, key string) {
	if (cert == "") != (key == "") {
		c.fault(certFlag, "and "+keyFlag+" stand alone", "give both or neither")
		return
	}
	c.File(certFlag, cert)
	c.File(keyFlag, key)
}

// File checks that a file, if one is named, can be read.
func (c *Checker) File(flag, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		c.fault(flag, err.Error(), "name a readable file")
		return
	}
	_ = f.Close()
}

// Secret checks that a token is long enough.
func (c *Checker) Secret(flag, token string) {
	if len(token) < minSecret {
		c.fault(flag, fmt.Sprintf("has fewer than %d characters", minSecret), "set a long random token")
	}
}

// minSecret is the shortest token accepted, in characters.
const minSecret = 16

// Member is one control host as the settings name it.
type Member struct {
	Name    mustardramp.HostName
	Address netip.AddrPort
	Place   mustardramp.Place
}

// Members parses "name=ip:port/zone/region" and finds names and addresses that
// stand twice.
func (c *Checker) Members(flag string, texts []string) []Member {
	members := make([]Member, 0, len(texts))
	names := map[mustardramp.HostName]bool{}
	addresses := map[netip.AddrPort]bool{}
	for _, text := range texts {
		m, ok := c.member(flag, text)
		if !ok {
			continue
		}
		if names[m.Name] {
			c.fault(flag, fmt.Sprintf("names host %q twice", m.Name), "give each host its own name")
		}
		if addresses[m.Address] {
			c.fault(flag, fmt.Sprintf("names address %s twice", m.Address), "give each host its own address")
		}
		names[m.Name], addresses[m.Address] = true, true
		members = append(members, m)
	}
	return members
}

func (c *Checker) member(flag, text string) (Member, bool) {
	name, rest, ok := strings.Cut(text, "=")
	parts := strings.Split(rest, "/")
	if !ok || name == "" || len(parts) != 3 || parts[1] == "" || parts[2] == "" {
		c.fault(flag, fmt.Sprintf("%q is not a member", text), "write name=ip:port/zone/region")
		return Member{}, false
	}
	address := c.Address(flag, parts[0])
	place := mustardramp.Place{Zone: mustardramp.Zone(parts[1]), Region: mustardramp.Region(parts[2])}
	return Member{Name: mustardramp.HostName(name), Address: address, Place: place}, address.IsValid()
}

// Self checks that the list of control hosts names this host.
func (c *Checker) Self(nameFlag string, name mustardramp.HostName, listFlag string, members []Member) {
	for _, m := range members {
		if m.Name == name {
			return
		}
	}
	c.fault(listFlag, fmt.Sprintf("does not name %q", name), "add this host to the list, with the name of "+nameFlag)
}
