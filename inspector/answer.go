package inspector

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"hemlocktally"
	"hemlocktally/interpreter"
	"hemlocktally/recorder"
)

// Answer is the response of the fleet to a query.
type Answer struct {
	Topic interpreter.Topic
	Rows  []interpreter.Row
	Parts []Part // Parts has one element for each instance that was asked.
}

// Part describes the response of one instance that an Answer contains.
type Part struct {
	Instance   hemlocktally.InstanceID
	Reached    bool
	Remembered bool          `json:",omitempty"` // Remembered is set if the rows are those of an earlier response.
	Age        time.Duration // Age is the maximum age of the rows.
	Detail     string        `json:",omitempty"`
}

// Unreached returns the parts of the instances that did not respond to this query.
func (a Answer) Unreached() []Part {
	var missing []Part
	for _, p := range a.Parts {
		if !p.Reached {
			missing = append(missing, p)
		}
	}
	return missing
}

// answerDocument is the JSON form of an Answer.
type answerDocument struct {
	Topic   interpreter.Topic
	Columns []string
	Rows    []json.RawMessage
	Parts   []Part
}

// MarshalJSON encodes the rows as objects with the topic's columns as keys.
func (a Answer) MarshalJSON() ([]byte, error) {
	schema, _ := interpreter.SchemaOf(string(a.Topic))
	doc := answerDocument{Topic: a.Topic, Columns: schema.ColumnNames(), Rows: []json.RawMessage{}, Parts: a.Parts}
	for _, row := range a.Rows {
		doc.Rows = append(doc.Rows, rowJSON(schema, row))
	}
	return json.Marshal(doc)
}

func rowJSON(schema interpreter.TopicSchema, row interpreter.Row) json.RawMessage {
	var b bytes.Buffer
	b.WriteByte('{')
	for n, column := range schema.Columns {
		if n > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Quote(column.Name) + ":")
		b.Write(jsonValue(column.Kind, schema.Get(row, column.Name)))
	}
	b.WriteByte('}')
	return b.Bytes()
}

func jsonValue(kind interpreter.Kind, value string) []byte {
	switch {
	case value == "" && kind != interpreter.KindText:
		return []byte("null")
	case (kind == interpreter.KindNumber || kind == interpreter.KindBool) && json.Valid([]byte(value)):
		return []byte(value)
	default:
		encoded, _ := json.Marshal(value)
		return encoded
	}
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (a *Answer) UnmarshalJSON(data []byte) error {
	var doc answerDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	*a = Answer{Topic: doc.Topic, Parts: doc.Parts}
	schema, _ := interpreter.SchemaOf(string(doc.Topic))
	for _, object := range doc.Rows {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(object, &fields); err != nil {
			return err
		}
		row := interpreter.Row{Values: make([]string, len(schema.Columns))}
		for n, column := range schema.Columns {
			row.Values[n] = jsonText(fields[column.Name])
		}
		a.Rows = append(a.Rows, row)
	}
	return nil
}

func jsonText(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// Ask runs a query against the whole fleet. Instances that do not respond are
// marked in the parts of the answer.
func (i *Inspector) Ask(ctx context.Context, query interpreter.Query) Answer {
	schema, _ := interpreter.SchemaOf(string(query.Topic))
	answer := i.collect(ctx, schema)
	answer.Rows = interpreter.Evaluate(query, answer.Rows)
	return answer
}

// collect returns the merged rows of all members for a topic.
func (i *Inspector) collect(ctx context.Context, schema interpreter.TopicSchema) Answer {
	answer := Answer{Topic: schema.Topic}
	var rows []interpreter.Row
	var distributions [][]recorder.Distribution
	for _, p := range i.gather(ctx, schema, "") {
		answer.Parts = append(answer.Parts, p.Part)
		rows = append(rows, p.rows...)
		distributions = append(distributions, p.distributions)
	}
	if schema.Topic == interpreter.TopicLatencies {
		answer.Rows = latencyRows(recorder.MergeDistributions(distributions...))
		return answer
	}
	if local := i.LocalSources[schema.Topic]; local != nil {
		rows = append(rows, local()...)
	}
	answer.Rows = merge(schema, rows)
	return answer
}

func latencyRows(distributions []recorder.Distribution) []interpreter.Row {
	rows := make([]interpreter.Row, 0, len(distributions))
	for _, d := range distributions {
		h := d.Histogram
		rows = append(rows, interpreter.Row{Values: []string{
			d.Key.Contract, d.Key.Tenant, string(d.Key.Outcome), string(d.Measure), strconv.FormatInt(h.Count(), 10),
			h.Quantile(0.5).String(), h.Quantile(0.99).String(), h.Quantile(0.999).String(),
			(time.Duration(h.Max()) * time.Microsecond).String(),
		}})
	}
	return rows
}
