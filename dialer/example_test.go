package dialer_test

import (
	"fmt"

	"hemlocktally"
	"hemlocktally/dialer"
)

// Sixteen instances share the 240 connections of a target, less a tenth.
func ExampleDialer_Share() {
	links := dialer.Dialer{Viewer: &fixedView{members: 16}}
	fmt.Println(links.Share(hemlocktally.Target{MaxConnections: 240}))
	// Output: 13
}
