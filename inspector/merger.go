package inspector

import (
	"slices"
	"strconv"
	"strings"

	"hemlocktally/interpreter"
)

// rule says how the rows of several instances become one: rows with equal keys
// are joined, numbers are summed, the least or the greatest is kept, and of the
// other columns the first known value.
type rule struct {
	keys     []string
	sums     []string
	least    []string
	greatest []string
}

// rules holds the topics whose rows are joined; the rows of the others are
// listed one after another.
var rules = map[interpreter.Topic]rule{
	interpreter.TopicConfiguration: {keys: []string{"Instance"}},
	interpreter.TopicStore:         {keys: []string{"Instance"}},
	interpreter.TopicRevisions:     {keys: []string{"Revision"}, sums: []string{"Instances"}},
	interpreter.TopicInstances:     {keys: []string{"Instance"}, least: []string{"HeardAgo"}, greatest: []string{"Revision"}},
	interpreter.TopicZones:         {keys: []string{"AvailabilityZone"}, sums: []string{"InFlight"}},
	interpreter.TopicTargets:       {keys: []string{"Service", "Target"}, sums: []string{"InFlight", "Cap", "Served"}},
	interpreter.TopicServices:      {keys: []string{"Service"}, sums: []string{"InFlight", "Served"}},
	interpreter.TopicContracts:     {keys: []string{"Contract"}},
	interpreter.TopicBudgets:       {keys: []string{"Service", "Contract", "Owner"}},
	interpreter.TopicClaims:        {keys: []string{"Range", "Holder"}},
	interpreter.TopicOwners:        {keys: []string{"Service", "AvailabilityZone", "Instance"}, sums: []string{"InFlight"}},
	interpreter.TopicRefusals: {
		keys: []string{"Contract", "Reason", "Outcome"}, sums: []string{"Count", "Instances"},
		least: []string{"Since"}, greatest: []string{"Last"},
	},
}

// merge joins the rows by the topic's rule.
func merge(schema interpreter.TopicSchema, rows []interpreter.Row) []interpreter.Row {
	r, ok := rules[schema.Topic]
	if !ok {
		return newestFirst(schema, rows)
	}
	var merged []interpreter.Row
	places := map[string]int{}
	for _, row := range rows {
		key := r.key(schema, row)
		at, known := places[key]
		if !known {
			places[key] = len(merged)
			merged = append(merged, interpreter.Row{Values: slices.Clone(row.Values)})
			continue
		}
		r.join(schema, merged[at].Values, row.Values)
	}
	slices.SortStableFunc(merged, func(a, b interpreter.Row) int { return r.compare(schema, a, b) })
	if schema.Topic == interpreter.TopicTargets {
		setShares(schema, merged)
	}
	return merged
}

// newestFirst orders the rows of a topic that has a start time.
func newestFirst(schema interpreter.TopicSchema, rows []interpreter.Row) []interpreter.Row {
	return interpreter.Evaluate(interpreter.Query{Topic: schema.Topic, OrderBy: "Started", Descending: true}, rows)
}

func (r rule) key(schema interpreter.TopicSchema, row interpreter.Row) string {
	parts := make([]string, 0, len(r.keys))
	for _, name := range r.keys {
		parts = append(parts, schema.Get(row, name))
	}
	return strings.Join(parts, "\x00")
}

// compare orders rows by their keys.
func (r rule) compare(schema interpreter.TopicSchema, a, b interpreter.Row) int {
	for _, name := range r.keys {
		column, _ := schema.Column(name)
		if order := interpreter.Compare(column.Kind, schema.Get(a, name), schema.Get(b, name)); order != 0 {
			return order
		}
	}
	return 0
}

func (r rule) join(schema interpreter.TopicSchema, sum, row []string) {
	for n, column := range schema.Columns {
		switch {
		case row[n] == "":
		case sum[n] == "":
			sum[n] = row[n]
		case slices.Contains(r.sums, column.Name):
			sum[n] = format(parse(sum[n]) + parse(row[n]))
		case slices.Contains(r.least, column.Name) && interpreter.Compare(column.Kind, row[n], sum[n]) < 0,
			slices.Contains(r.greatest, column.Name) && interpreter.Compare(column.Kind, row[n], sum[n]) > 0:
			sum[n] = row[n]
		}
	}
}

// setShares gives each target its share of its service's finished work.
func setShares(schema interpreter.TopicSchema, rows []interpreter.Row) {
	served := map[string]float64{}
	for _, row := range rows {
		served[schema.Get(row, "Service")] += parse(schema.Get(row, "Served"))
	}
	share := slices.Index(schema.ColumnNames(), "SharePercent")
	for _, row := range rows {
		all := served[schema.Get(row, "Service")]
		if all > 0 {
			row.Values[share] = strconv.FormatFloat(100*parse(schema.Get(row, "Served"))/all, 'f', 1, 64)
		}
	}
}

func parse(value string) float64 {
	f, _ := strconv.ParseFloat(value, 64)
	return f
}

func format(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
