package hemlocktally

// ZoneName names an availability zone.
type ZoneName string

// AvailabilityZone is a place whose machines may fail or be taken out together.
type AvailabilityZone struct {
	Name ZoneName
	Out  bool // Out is set while operators have the zone out of service.
}
