// Package hemlocktally is a load balancer for callers whose work is worth more
// than all other traffic combined, in front of targets whose load shifts within
// milliseconds. This package holds the words of its world (Instance,
// AvailabilityZone, Caller, Target, Service, Contract, Grant, Claim), its error
// types, and the small interfaces that the packages below it implement.
//
// An operator declares contracts; a contract matches requests and says what
// they are owed:
//
//	config := hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{
//		Name:     "CrewReads",
//		Service:  "bog-log",
//		Match:    hemlocktally.Match{PathPrefix: "/log/", Methods: []string{"GET"}},
//		Priority: hemlocktally.PriorityHigh,
//		Deadline: time.Second,
//	}}}
//	contract, ok := config.Find(hemlocktally.RequestLine{Method: "GET", Path: "/log/7"})
//
// All types are plain structs whose zero values work.
package hemlocktally
