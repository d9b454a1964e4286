package mustardramp

// Zone names an availability zone, such as "kol-a".
type Zone string

// Region names a region, such as "kolkata".
type Region string

// Place is where a process runs.
type Place struct {
	// Zone is the availability zone; it belongs to exactly one region.
	Zone Zone `json:"zone" cbor:"1,keyasint"`
	// Region is the region that holds the zone.
	Region Region `json:"region" cbor:"2,keyasint"`
}

// Distance says how far apart two places are.
type Distance uint8

// The distances between two places, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	AcrossRegions
)

// To returns the distance from p to q.
func (p Place) To(q Place) Distance {
	if p.Region != q.Region {
		return AcrossRegions
	}
	if p.Zone != q.Zone {
		return SameRegion
	}
	return SameZone
}
