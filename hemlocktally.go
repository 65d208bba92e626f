// Package hemlocktally is a load balancer for callers whose requests are worth
// more than all other traffic combined, in front of targets whose load changes
// within milliseconds. This package defines the domain types (Instance,
// AvailabilityZone, Caller, Target, Service, Contract, Grant, Claim), the error
// types, and the small interfaces that the packages below it implement.
//
// An operator declares contracts. A contract matches requests and defines how
// they are served:
//
//	config := hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{
//		Name:     "CrewReads",
//		Service:  "bog-log",
//		Match:    hemlocktally.Match{PathPrefix: "/log/", Methods: []string{"GET"}},
//		Priority: hemlocktally.PriorityHigh,
//		Deadline: time.Second,
//	}}}
//	contract, ok := config.Find(hemlocktally.RequestAttributes{Method: "GET", Path: "/log/7"})
//
// All types are plain structs with useful zero values.
package hemlocktally
