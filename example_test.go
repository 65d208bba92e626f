package hemlocktally_test

import (
	"errors"
	"fmt"
	"time"

	"hemlocktally"
)

// A contract matches requests and defines how they are served.
func Example() {
	config := hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{
		Name:     "CrewReads",
		Service:  "bog-log",
		Match:    hemlocktally.Match{PathPrefix: "/log/", Methods: []string{"GET"}},
		Priority: hemlocktally.PriorityHigh,
		Deadline: time.Second,
	}}}
	contract, ok := config.Find(hemlocktally.RequestAttributes{Method: "GET", Path: "/log/7"})
	fmt.Println(ok, contract.Name, contract.Priority, contract.CallDeadline())
	// Output: true CrewReads High 1s
}

func ExampleConfiguration_Apply() {
	config := &hemlocktally.Configuration{Revision: 11, Zones: []hemlocktally.AvailabilityZone{{Name: "kingston-a"}}}
	next, err := config.Apply(hemlocktally.AcceptedChange{Revision: 12, Change: hemlocktally.Change{
		ID: "change-1", Author: "amelia",
		Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandZoneOut, Name: "kingston-a"}},
	}})
	fmt.Println(err, next.Revision, next.ZoneOut("kingston-a"), config.ZoneOut("kingston-a"))
	// Output: <nil> 12 true false
}

func ExampleChangeError() {
	_, err := (&hemlocktally.Configuration{}).Apply(hemlocktally.AcceptedChange{Change: hemlocktally.Change{
		ID: "change-2", Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandZoneOut, Name: "atlantis"}},
	}})
	var bad *hemlocktally.ChangeError
	fmt.Println(errors.As(err, &bad), bad.Kind, bad.Detail)
	// Output: true ZoneOut no availability zone "atlantis"
}

func ExampleMatch_Covers() {
	match := hemlocktally.Match{PathPrefix: "/holds/", Methods: []string{"POST"}, Callers: []hemlocktally.CallerName{"counter"}}
	fmt.Println(
		match.Covers(hemlocktally.RequestAttributes{Method: "POST", Path: "/holds/7", Caller: "counter"}),
		match.Covers(hemlocktally.RequestAttributes{Method: "POST", Path: "/holds/7", Caller: hemlocktally.AnonymousCaller}),
	)
	// Output: true false
}

func ExampleCallRecord_Overhead() {
	record := hemlocktally.CallRecord{Total: 25 * time.Millisecond, Queue: 4 * time.Millisecond, Serving: 20 * time.Millisecond}
	fmt.Println(record.Overhead())
	// Output: 1ms
}

func ExampleView_Serving() {
	view := hemlocktally.View{Members: []hemlocktally.Instance{
		{ID: "entry-1", State: hemlocktally.InstanceServing}, {ID: "entry-2", State: hemlocktally.InstanceLeaving},
	}}
	for _, instance := range view.Serving() {
		fmt.Println(instance.ID)
	}
	// Output: entry-1
}
