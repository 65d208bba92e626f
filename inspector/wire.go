package inspector

import (
	"hemlocktally"
	"hemlocktally/interpreter"
	"hemlocktally/messenger"
	"hemlocktally/recorder"
)

func wireRow(schema interpreter.TopicSchema, row interpreter.Row) *messenger.Row {
	fields := make(map[string]string, len(schema.Columns))
	for n, column := range schema.Columns {
		if n < len(row.Values) && row.Values[n] != "" {
			fields[column.Name] = row.Values[n]
		}
	}
	return &messenger.Row{Fields: fields}
}

// rowOf reads a row of a peer, which may have fewer or more columns while a
// fleet is upgraded.
func rowOf(schema interpreter.TopicSchema, in *messenger.Row) interpreter.Row {
	row := interpreter.Row{Values: make([]string, len(schema.Columns))}
	for n, column := range schema.Columns {
		row.Values[n] = in.Fields[column.Name]
	}
	return row
}

func wireDistributions(list []recorder.Distribution) ([]*messenger.Distribution, error) {
	out := make([]*messenger.Distribution, 0, len(list))
	for _, d := range list {
		encoded, err := d.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, &messenger.Distribution{
			Contract: d.Key.Contract, Tenant: d.Key.Tenant, Outcome: string(d.Key.Outcome),
			Measure: string(d.Measure), Histogram: encoded,
		})
	}
	return out, nil
}

func distributionsOf(in []*messenger.Distribution) ([]recorder.Distribution, error) {
	list := make([]recorder.Distribution, 0, len(in))
	for _, d := range in {
		histogram, err := recorder.DecodeHistogram(d.Histogram)
		if err != nil {
			return list, err
		}
		list = append(list, recorder.Distribution{
			Key:     recorder.ClassKey{Contract: d.Contract, Tenant: d.Tenant, Outcome: hemlocktally.Outcome(d.Outcome)},
			Measure: recorder.Measure(d.Measure), Histogram: histogram,
		})
	}
	return list, nil
}
