package inspector

import (
	"context"

	"google.golang.org/protobuf/encoding/protojson"

	"hemlocktally"
	"hemlocktally/interpreter"
	"hemlocktally/messenger"
	"hemlocktally/recorder"
)

func toWireRow(schema interpreter.TopicSchema, row interpreter.Row) *messenger.Row {
	fields := make(map[string]string, len(schema.Columns))
	for n, column := range schema.Columns {
		if n < len(row.Values) && row.Values[n] != "" {
			fields[column.Name] = row.Values[n]
		}
	}
	return &messenger.Row{Fields: fields}
}

// fromWireRow decodes a row of a peer, which may have fewer or more columns during
// an upgrade of the fleet. Missing columns are empty, unknown ones are ignored.
func fromWireRow(schema interpreter.TopicSchema, in *messenger.Row) interpreter.Row {
	row := interpreter.Row{Values: make([]string, len(schema.Columns))}
	for n, column := range schema.Columns {
		row.Values[n] = in.Fields[column.Name]
	}
	return row
}

func toWireDistributions(list []recorder.Distribution) ([]*messenger.Distribution, error) {
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

func fromWireDistributions(in []*messenger.Distribution) ([]recorder.Distribution, error) {
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

// Distributions returns the merged histograms of all members that respond.
func (i *Inspector) Distributions(ctx context.Context) []recorder.Distribution {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicLatencies))
	var lists [][]recorder.Distribution
	for _, p := range i.gather(ctx, schema, "") {
		lists = append(lists, p.distributions)
	}
	return recorder.MergeDistributions(lists...)
}

// MarshalDistributions encodes histograms as the protobuf JSON of an InspectResponse.
func MarshalDistributions(list []recorder.Distribution) ([]byte, error) {
	documents, err := toWireDistributions(list)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(&messenger.InspectResponse{Distributions: documents})
}

// UnmarshalDistributions decodes the output of MarshalDistributions.
func UnmarshalDistributions(text []byte) ([]recorder.Distribution, error) {
	var document messenger.InspectResponse
	if err := protojson.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	return fromWireDistributions(document.Distributions)
}
