// Package failuredomain describes where hosts stand: regions, failure domains
// and racks, which fail together.
package failuredomain

// Region names a set of failure domains that may lose touch with others.
type Region string

// Name names a failure domain.
type Name string

// Rack names a rack within a failure domain.
type Rack string

// Place is where a host stands.
type Place struct {
	Region Region
	Domain Name
	Rack   Rack
}

// Distance orders places by how far apart they are.
type Distance uint8

// The distances.
const (
	SameRack Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Distance returns how far o is from p.
func (p Place) Distance(o Place) Distance {
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
