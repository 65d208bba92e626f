package inspector

import (
	"slices"
	"strconv"
	"strings"

	"hemlocktally/interpreter"
)

// mergeRule defines how the rows of several instances are merged. Rows with equal
// values in the key columns become one row: the columns in sums are added up, of
// those in minima and maxima the least or greatest value is kept, and of all
// others the first value that is not empty.
type mergeRule struct {
	keys   []string
	sums   []string
	minima []string
	maxima []string
}

// mergeRules holds the rules by topic. The rows of topics without a rule are not
// merged.
var mergeRules = map[interpreter.Topic]mergeRule{
	interpreter.TopicConfiguration: {keys: []string{"Instance"}},
	interpreter.TopicStore:         {keys: []string{"Instance"}},
	interpreter.TopicRevisions:     {keys: []string{"Revision"}, sums: []string{"Instances"}},
	interpreter.TopicInstances:     {keys: []string{"Instance"}, minima: []string{"HeardAgo"}, maxima: []string{"Revision"}},
	interpreter.TopicZones:         {keys: []string{"AvailabilityZone"}, sums: []string{"InFlight"}},
	interpreter.TopicTargets:       {keys: []string{"Service", "Target"}, sums: []string{"InFlight", "Cap", "Served"}},
	interpreter.TopicServices:      {keys: []string{"Service"}, sums: []string{"InFlight", "Served"}},
	interpreter.TopicContracts:     {keys: []string{"Contract"}},
	interpreter.TopicBudgets:       {keys: []string{"Service", "Contract", "Owner"}},
	interpreter.TopicClaims:        {keys: []string{"Range", "Holder"}},
	interpreter.TopicOwners:        {keys: []string{"Service", "AvailabilityZone", "Instance"}, sums: []string{"InFlight"}},
	interpreter.TopicRefusals: {
		keys: []string{"Contract", "Reason", "Outcome"}, sums: []string{"Count", "Instances"},
		minima: []string{"Since"}, maxima: []string{"Last"},
	},
}

// merge merges rows by the topic's rule and sorts them by key. The rows of a topic
// without a rule are sorted by start time, newest first.
func merge(schema interpreter.TopicSchema, rows []interpreter.Row) []interpreter.Row {
	r, ok := mergeRules[schema.Topic]
	if !ok {
		return newestFirst(schema, rows)
	}
	var merged []interpreter.Row
	indexes := map[string]int{}
	for _, row := range rows {
		key := r.key(schema, row)
		index, known := indexes[key]
		if !known {
			indexes[key] = len(merged)
			merged = append(merged, interpreter.Row{Values: slices.Clone(row.Values)})
			continue
		}
		r.combine(schema, merged[index].Values, row.Values)
	}
	slices.SortStableFunc(merged, func(a, b interpreter.Row) int { return r.compare(schema, a, b) })
	if schema.Topic == interpreter.TopicTargets {
		setShares(schema, merged)
	}
	return merged
}

// newestFirst sorts the rows by start time, newest first.
func newestFirst(schema interpreter.TopicSchema, rows []interpreter.Row) []interpreter.Row {
	return interpreter.Evaluate(interpreter.Query{Topic: schema.Topic, OrderBy: "Started", Descending: true}, rows)
}

func (r mergeRule) key(schema interpreter.TopicSchema, row interpreter.Row) string {
	parts := make([]string, 0, len(r.keys))
	for _, name := range r.keys {
		parts = append(parts, schema.Get(row, name))
	}
	return strings.Join(parts, "\x00")
}

// compare orders rows by their keys.
func (r mergeRule) compare(schema interpreter.TopicSchema, a, b interpreter.Row) int {
	for _, name := range r.keys {
		column, _ := schema.Column(name)
		if result := interpreter.Compare(column.Kind, schema.Get(a, name), schema.Get(b, name)); result != 0 {
			return result
		}
	}
	return 0
}

// combine merges row into merged, column by column.
func (r mergeRule) combine(schema interpreter.TopicSchema, merged, row []string) {
	for n, column := range schema.Columns {
		switch {
		case row[n] == "":
		case merged[n] == "":
			merged[n] = row[n]
		case slices.Contains(r.sums, column.Name):
			merged[n] = formatNumber(parseNumber(merged[n]) + parseNumber(row[n]))
		case slices.Contains(r.minima, column.Name) && interpreter.Compare(column.Kind, row[n], merged[n]) < 0,
			slices.Contains(r.maxima, column.Name) && interpreter.Compare(column.Kind, row[n], merged[n]) > 0:
			merged[n] = row[n]
		}
	}
}

// setShares sets each target's share of its service's completed calls, in percent.
func setShares(schema interpreter.TopicSchema, rows []interpreter.Row) {
	served := map[string]float64{}
	for _, row := range rows {
		served[schema.Get(row, "Service")] += parseNumber(schema.Get(row, "Served"))
	}
	share := slices.Index(schema.ColumnNames(), "SharePercent")
	for _, row := range rows {
		all := served[schema.Get(row, "Service")]
		if all > 0 {
			row.Values[share] = strconv.FormatFloat(100*parseNumber(schema.Get(row, "Served"))/all, 'f', 1, 64)
		}
	}
}

func parseNumber(value string) float64 {
	f, _ := strconv.ParseFloat(value, 64)
	return f
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
