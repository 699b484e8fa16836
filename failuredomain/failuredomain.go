// Package failuredomain describes the location of hosts by region, failure domain
// and rack. Hosts in the same failure domain or rack may fail together.
package failuredomain

// Region names a set of failure domains that may be partitioned from other
// regions.
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

// Distance is how far apart two places are; a larger value is farther.
type Distance uint8

// The distances, each named by the smallest unit that both places share;
// OtherRegion if they share none.
const (
	SameRack Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Distance returns the distance between p and o.
func (p Location) Distance(o Location) Distance {
	switch {
	case p.Region != o.Region:
		return OtherRegion
	case p.Domain != o.Domain:
		return SameRegion
	case p.Rack != o.Rack:
		return SameDomain
	}
	return SameRack
}
