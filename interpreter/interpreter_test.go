package interpreter_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
	"hemlocktally/interpreter"
)

func TestParseQuery(t *testing.T) {
	c := qt.New(t)
	got, err := interpreter.Parse(`SHOW targets Where state = Cold and inflight >= 2 order by latency desc limit 3 as json`)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, interpreter.Query{
		Topic: interpreter.TopicTargets,
		Where: []interpreter.Condition{
			{Column: "State", Operator: "=", Value: "Cold"}, {Column: "InFlight", Operator: ">=", Value: "2"},
		},
		OrderBy: "Latency", Descending: true, Limit: 3, Format: interpreter.FormatJSON,
	})
}

func TestParseCommandsAndExplanations(t *testing.T) {
	for text, want := range map[string]interpreter.Statement{
		`take out AvailabilityZone kingston-a wait because "hire week"`: interpreter.Command{
			Action: interpreter.ActionTakeOut, Kind: interpreter.SubjectZone, Name: "kingston-a", Wait: true, Because: "hire week",
		},
		`bring back Target holds/holds-1 dry run base 12`: interpreter.Command{
			Action: interpreter.ActionBringBack, Kind: interpreter.SubjectTarget, Service: "holds", Target: "holds-1", DryRun: true, Base: 12,
		},
		`change Contract CounterSearch set deadline = 300ms, Hedge = false`: interpreter.Command{
			Action: interpreter.ActionChange, Kind: interpreter.SubjectContract, Name: "CounterSearch",
			Settings: []interpreter.Setting{{Field: "Deadline", Value: "300ms"}, {Field: "Hedge", Value: "false"}},
		},
		`explain Target catalogue-1`: interpreter.ExplainRequest{Target: "catalogue-1"},
		`explain Call 01J as JSON`:   interpreter.ExplainRequest{Call: "01J", Format: interpreter.FormatJSON},
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			got, err := interpreter.Parse(text)
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, want)
		})
	}
}

func TestSyntaxErrorsReportOffsetAndExpectedWords(t *testing.T) {
	for text, want := range map[string]interpreter.SyntaxError{
		"":                                      {Offset: 0, Found: "", Expected: []string{"bring", "change", "explain", "show", "take"}},
		"shwo Targets":                          {Offset: 0, Found: "shwo", Expected: []string{"bring", "change", "explain", "show", "take"}},
		"show Targets whre State = Cold":        {Offset: 13, Found: "whre", Expected: []string{"as", "limit", "order", "where"}},
		"show Refusals where Cuont > 3":         {Offset: 20, Found: "Cuont", Expected: []string{"Contract", "Count", "Instances", "Last", "Outcome", "Reason", "Since"}},
		"show Refusals where Count > many":      {Offset: 28, Found: "many", Expected: []string{"a number"}},
		"show Refusals where Count 3":           {Offset: 26, Found: "3", Expected: []string{"!=", "<", "<=", "=", ">", ">=", "contains"}},
		"take out Zone kingston-a":              {Offset: 9, Found: "Zone", Expected: []string{"AvailabilityZone", "Instance", "Target"}},
		"take out Instance":                     {Offset: 17, Found: "", Expected: []string{"a name"}},
		"change Contract X set Deadline = soon": {Offset: 33, Found: "soon", Expected: []string{"a duration such as 300ms"}},
		"show Calls limit few":                  {Offset: 17, Found: "few", Expected: []string{"a number"}},
		"take out Instance entry-1 dry":         {Offset: 29, Found: "", Expected: []string{"run"}},
		"take out Instance entry-1 base now":    {Offset: 31, Found: "now", Expected: []string{"a number"}},
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			_, err := interpreter.Parse(text)
			var got *interpreter.SyntaxError
			c.Assert(errors.As(err, &got), qt.IsTrue)
			want.Text = text
			c.Check(*got, qt.DeepEquals, want)
		})
	}
}

func TestUnknownTopicListsTheTopics(t *testing.T) {
	c := qt.New(t)
	_, err := interpreter.Parse("show Target")
	var got *interpreter.SyntaxError
	c.Assert(errors.As(err, &got), qt.IsTrue)
	c.Check(got.Expected, qt.HasLen, len(interpreter.Schemas()))
	c.Check(got.Offset, qt.Equals, 5)
}

func TestCompletionFollowsTheGrammar(t *testing.T) {
	c := qt.New(t)
	c.Check(interpreter.Complete("show Ta"), qt.DeepEquals, []string{"show Targets"})
	c.Check(interpreter.Complete("show Targets where La"), qt.DeepEquals, []string{"show Targets where Latency"})
	c.Check(interpreter.Complete("tell"), qt.HasLen, 0)
}

func TestEvaluateComparesByKind(t *testing.T) {
	c := qt.New(t)
	schema, _ := interpreter.SchemaOf("Refusals")
	row := func(contract, count string) interpreter.Row {
		values := make([]string, len(schema.Columns))
		values[0], values[3] = contract, count
		return interpreter.Row{Values: values}
	}
	rows := []interpreter.Row{row("A", "9"), row("B", "10"), row("C", "2")}
	query := interpreter.Query{
		Topic: interpreter.TopicRefusals, Where: []interpreter.Condition{{Column: "Count", Operator: ">", Value: "2"}},
		OrderBy: "Count", Descending: true,
	}
	got := interpreter.Evaluate(query, rows)
	c.Check(got, qt.DeepEquals, []interpreter.Row{row("B", "10"), row("A", "9")})
	query.Limit = 1
	c.Check(interpreter.Evaluate(query, rows), qt.HasLen, 1)
}

func TestPlanChangesOnlyTheNamedSubject(t *testing.T) {
	c := qt.New(t)
	config := &hemlocktally.Configuration{
		Zones:     []hemlocktally.AvailabilityZone{{Name: "kingston-a"}},
		Services:  []hemlocktally.Service{{Name: "holds", Targets: []hemlocktally.Target{{Name: "holds-1"}}}},
		Contracts: []hemlocktally.Contract{{Name: "Holds", Service: "holds", NonIdempotent: true, Deadline: time.Second}},
	}
	plan := func(text string) ([]hemlocktally.Command, error) {
		statement, err := interpreter.Parse(text)
		c.Assert(err, qt.IsNil)
		return interpreter.Plan(statement.(interpreter.Command), config)
	}
	got, err := plan("change Contract Holds set Deadline = 300ms")
	c.Assert(err, qt.IsNil)
	want := config.Contracts[0]
	want.Deadline = 300 * time.Millisecond
	c.Check(got, qt.DeepEquals, []hemlocktally.Command{{Kind: hemlocktally.CommandPutContract, Contract: &want}})
	got, err = plan("take out Target holds-1")
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []hemlocktally.Command{{Kind: hemlocktally.CommandTargetOut, Name: "holds", Target: "holds-1"}})
	_, err = plan("take out AvailabilityZone kingston-b")
	c.Check(err, qt.ErrorMatches, "AvailabilityZone kingston-b: there is no such zone; there is kingston-a")
}

func TestAnyTextParsesOrFailsWithAnOffsetInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`(show|take out|change Contract|explain)?[ a-z"=<,\n\x00é]{0,20}`).Draw(t, "text")
		_, err := interpreter.Parse(text)
		var syntax *interpreter.SyntaxError
		if err != nil && (!errors.As(err, &syntax) || syntax.Offset > len(text) || len(syntax.Expected) == 0) {
			t.Fatalf("%q: %v", text, err)
		}
	})
}
