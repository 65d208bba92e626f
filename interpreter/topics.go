package interpreter

import "strings"

// Topic is a table that operators can query.
type Topic string

// The topics.
const (
	TopicConfiguration Topic = "Configuration"
	TopicRevisions     Topic = "Revisions"
	TopicInstances     Topic = "Instances"
	TopicZones         Topic = "AvailabilityZones"
	TopicTargets       Topic = "Targets"
	TopicServices      Topic = "Services"
	TopicContracts     Topic = "Contracts"
	TopicOwners        Topic = "Owners"
	TopicRefusals      Topic = "Refusals"
	TopicBudgets       Topic = "Budgets"
	TopicClaims        Topic = "Claims"
	TopicCalls         Topic = "Calls"
	TopicLatencies     Topic = "Latencies"
	TopicStore         Topic = "Store"
)

// Kind is the type of a column. It determines how values are compared and shown.
type Kind int

// The column types. The zero value is text.
const (
	KindText Kind = iota
	KindNumber
	KindDuration
	KindTime // KindTime is an RFC 3339 time.
	KindBool // KindBool is a boolean: true or false.
)

// Column is the name and type of one column of a topic.
type Column struct {
	Name string
	Kind Kind
}

// TopicSchema describes the rows of a topic.
type TopicSchema struct {
	Topic       Topic
	Columns     []Column
	Description string
}

// Schemas returns the schemas of all topics. The caller must not modify the slice.
func Schemas() []TopicSchema { return schemas }

// SchemaOf returns the schema of the topic with the name. Case is ignored.
func SchemaOf(name string) (TopicSchema, bool) {
	for _, s := range schemas {
		if strings.EqualFold(string(s.Topic), name) {
			return s, true
		}
	}
	return TopicSchema{}, false
}

// Column returns the column with the name. Case is ignored.
func (s TopicSchema) Column(name string) (Column, bool) {
	for _, c := range s.Columns {
		if strings.EqualFold(c.Name, name) {
			return c, true
		}
	}
	return Column{}, false
}

// ColumnNames returns the names of the columns in order.
func (s TopicSchema) ColumnNames() []string {
	names := make([]string, 0, len(s.Columns))
	for _, c := range s.Columns {
		names = append(names, c.Name)
	}
	return names
}

func text(names ...string) []Column      { return columns(KindText, names) }
func numbers(names ...string) []Column   { return columns(KindNumber, names) }
func durations(names ...string) []Column { return columns(KindDuration, names) }
func times(names ...string) []Column     { return columns(KindTime, names) }
func flags(names ...string) []Column     { return columns(KindBool, names) }

func columns(kind Kind, names []string) []Column {
	list := make([]Column, 0, len(names))
	for _, name := range names {
		list = append(list, Column{Name: name, Kind: kind})
	}
	return list
}

func join(parts ...[]Column) []Column {
	var all []Column
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

var schemas = []TopicSchema{
	{TopicConfiguration, join(text("Instance"), numbers("Revision"), text("Author", "ChangeID"), times("Since"),
		numbers("AvailabilityZones", "Services", "Targets", "Contracts", "Callers")), "what is in force on each instance"},
	{
		TopicRevisions, join(numbers("Revision"), text("Author", "ChangeID"), times("Since"), numbers("Instances"), text("Because")),
		"the revisions known to the fleet, and on how many instances each is in force",
	},
	{TopicInstances, join(text("Instance", "AvailabilityZone", "State"), flags("Out"), numbers("Revision"),
		durations("HeardAgo"), text("Callers", "Peers", "Operators")), "the members of the fleet"},
	{
		TopicZones, join(text("AvailabilityZone"), flags("Out"), numbers("Instances", "Targets", "InFlight")),
		"the availability zones and their work in flight",
	},
	{TopicTargets, join(text("Service", "Target", "AvailabilityZone", "State"), numbers("InFlight", "Cap", "Served", "SharePercent"),
		durations("Latency"), text("Owner", "Reason")), "where work goes, and why a target has its state"},
	{
		TopicServices, join(text("Service"), numbers("Targets", "TargetsOut", "InFlight", "Served", "ProbesPerSecond")),
		"the services and their work",
	},
	{TopicContracts, join(text("Contract", "Service", "Match", "Priority"), flags("NonIdempotent"),
		durations("Deadline", "QueueLimit"), flags("Hedge"), numbers("HedgeBudget", "RetryBudget")), "what operators declared"},
	{TopicOwners, join(text("Service", "AvailabilityZone", "Instance"), numbers("Targets", "InFlight")), "which instance owns which service"},
	{
		TopicRefusals, join(text("Contract", "Reason", "Outcome"), numbers("Count"), times("Since", "Last"), numbers("Instances")),
		"what was refused, why, and since when",
	},
	{
		TopicBudgets, join(text("Service", "Contract", "Owner"), numbers("ProbesPerSecond", "Probes", "ProbesRefused",
			"Calls", "Retries", "Hedges", "Refused")),
		"what measuring, retries and hedges cost against their budgets",
	},
	{TopicClaims, join(numbers("Range"), text("Holder"), numbers("Epoch"), text("Lease")), "who holds which range of keys for claims"},
	{
		TopicCalls, join(text("Call", "Contract", "Service", "Caller", "Tenant", "Method", "Path", "Outcome", "Reason"), numbers("Status", "Attempts"),
			text("Target"), durations("Total", "Queue", "Grant", "Serving", "Added"), times("Started"), text("Instance")),
		"recent, slow and refused calls",
	},
	{TopicLatencies, join(text("Contract", "Tenant", "Outcome", "Measure"), numbers("Calls"),
		durations("P50", "P99", "P999", "Max")), "times of calls over the whole fleet, from merged histograms"},
	{TopicStore, join(text("Instance"), numbers("Calls", "CallsPerSecond"), flags("Frozen")), "calls of the platform's key-value service"},
}
