package interpreter_test

import (
	"fmt"

	"hemlocktally"
	"hemlocktally/interpreter"
)

func ExampleParse() {
	statement, err := interpreter.Parse("show Targets where State = Cold limit 3")
	query := statement.(interpreter.Query)
	fmt.Println(err, query.Topic, query.Where[0].Column, query.Where[0].Value, query.Limit)
	// Output: <nil> Targets State Cold 3
}

func ExampleSyntaxError() {
	_, err := interpreter.Parse("take out Zone kingston-a")
	fmt.Println(err)
	// Output:
	// column 10: found "Zone", expected AvailabilityZone, Instance, Target
	//   take out Zone kingston-a
	//            ^
}

func ExampleComplete() {
	fmt.Println(interpreter.Complete("take out Av"))
	// Output: [take out AvailabilityZone]
}

func ExampleEvaluate() {
	rows := []interpreter.Row{{Values: []string{"entry-10", "7", "0.5", "false"}}, {Values: []string{"entry-2", "9", "0.6", "true"}}}
	query := interpreter.Query{Topic: interpreter.TopicStore, OrderBy: "Instance"}
	for _, row := range interpreter.Evaluate(query, rows) {
		fmt.Println(row.Values[0])
	}
	// Output:
	// entry-2
	// entry-10
}

func ExamplePlan() {
	config := &hemlocktally.Configuration{Zones: []hemlocktally.AvailabilityZone{{Name: "kingston-a"}}}
	command, _ := interpreter.Parse("take out AvailabilityZone kingston-a")
	commands, err := interpreter.Plan(command.(interpreter.Command), config)
	fmt.Println(err, commands[0].Kind, commands[0].Name)
	// Output: <nil> ZoneOut kingston-a
}

func ExampleDifferences() {
	before := &hemlocktally.Configuration{Zones: []hemlocktally.AvailabilityZone{{Name: "kingston-a"}}}
	after := &hemlocktally.Configuration{Zones: []hemlocktally.AvailabilityZone{{Name: "kingston-a", Out: true}}}
	for _, d := range interpreter.Differences(before, after) {
		fmt.Println(d)
	}
	// Output: ~ AvailabilityZone kingston-a: Out = true, was false
}
