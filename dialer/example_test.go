package dialer_test

import (
	"fmt"

	"hemlocktally"
	"hemlocktally/dialer"
)

// Sixteen instances share the 240 connections of a target, less the reserved
// tenth.
func ExampleDialer_Share() {
	d := dialer.Dialer{Viewer: &fixedView{instances: 16}}
	fmt.Println(d.Share(hemlocktally.Target{MaxConnections: 240}))
	// Output: 13
}
