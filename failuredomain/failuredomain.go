// Package failuredomain describes the location of hosts by region, failure domain
// and rack. Hosts in the same failure domain or rack may fail together.
package failuredomain

// Region names a set of failure domains that a network partition may separate from
// other regions.
type Region string

// Name names a failure domain.
type Name string

// Rack names a rack within a failure domain.
type Rack string

// Location is the location of a host.
type Location struct {
	Region Region
	Domain Name
	Rack   Rack
}

// Distance is how far apart two locations are; a larger value is farther.
type Distance uint8

// The distances, each named after the smallest unit that both locations share, or
// OtherRegion if they share none.
const (
	SameRack Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Distance returns the distance between l and o.
func (l Location) Distance(o Location) Distance {
	switch {
	case l.Region != o.Region:
		return OtherRegion
	case l.Domain != o.Domain:
		return SameRegion
	case l.Rack != o.Rack:
		return SameDomain
	}
	return SameRack
}
