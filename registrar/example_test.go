package registrar_test

import (
	"fmt"

	"hemlocktally"
	"hemlocktally/registrar"
)

// Two of a zone's four instances watch the store for a role.
func ExampleIsWatcher() {
	var view hemlocktally.View
	for _, id := range []hemlocktally.InstanceID{"a", "b", "c", "d"} {
		view.Members = append(view.Members, hemlocktally.Instance{ID: id, Zone: "north", State: hemlocktally.InstanceServing})
	}
	watchers := 0
	for _, m := range view.Members {
		if registrar.IsWatcher(view, m.ID, "Configuration/Head") {
			watchers++
		}
	}
	fmt.Println(watchers)
	// Output: 2
}
