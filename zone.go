package hemlocktally

// ZoneName identifies an availability zone.
type ZoneName string

// AvailabilityZone is a location whose machines may fail or be taken out of
// service together.
type AvailabilityZone struct {
	Name ZoneName
	Out  bool // Out is set while operators have taken the zone out of service.
}
