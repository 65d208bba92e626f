package follower

import (
	"encoding/json"
	"fmt"

	"hemlocktally"
)

// Hub is the registration of an instance that reads the store on behalf of others. It
// is stored as JSON, one per zone.
type Hub struct {
	ID          hemlocktally.InstanceID
	Incarnation string
	Zone        hemlocktally.ZoneName
	PeerAddress string  // PeerAddress is IP:port.
	Weight      float64 // Weight is its share of a CPU core; services are distributed by it.
}

// maxHubWeight bounds the share of CPU cores that an instance may claim. Services are
// distributed by it, so that a larger number would draw them all to one instance.
const maxHubWeight = 1024

// InvalidHubError reports a hub's entry with a weight that no instance can have.
type InvalidHubError struct {
	Hub    hemlocktally.InstanceID
	Weight float64
}

// Error returns a message with the hub and its weight.
func (e *InvalidHubError) Error() string {
	return fmt.Sprintf("hub %s: weight %g is not between 0 and %d", e.Hub, e.Weight, maxHubWeight)
}

// decodeHub decodes the registration of a hub.
func decodeHub(value []byte) (hub Hub, err error) {
	if err := json.Unmarshal(value, &hub); err != nil {
		return hub, err
	}
	if hub.Weight < 0 || hub.Weight > maxHubWeight {
		return hub, &InvalidHubError{Hub: hub.ID, Weight: hub.Weight}
	}
	return hub, nil
}
