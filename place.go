package mustardramp

// Zone is the name of an availability zone, such as "kol-a".
type Zone string

// Region is the name of a region, such as "kolkata".
type Region string

// Place is the location of a process.
type Place struct {
	// Zone is the availability zone. Each zone belongs to exactly one region.
	Zone Zone `json:"zone" cbor:"1,keyasint"`
	// Region is the region of the zone.
	Region Region `json:"region" cbor:"2,keyasint"`
}

// Distance classifies how far apart two places are.
type Distance uint8

// The distances between two places, nearest first.
const (
	// SameZone is the distance within an availability zone.
	SameZone Distance = iota
	// SameRegion is the distance between two zones of a region.
	SameRegion
	// AcrossRegions is the distance between two regions.
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
