package runner_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/commander"
	"hemlocktally/experimenter"
	"hemlocktally/inspector"
	"hemlocktally/interpreter"
	"hemlocktally/runner"
)

// post sends a text to an instance's operators' port with the key.
func post(c *qt.C, daemon *runner.Daemon, path, key, text string) (status int, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.Self().OperatorAddress+path, strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(read)
}

func ask(c *qt.C, daemon *runner.Daemon, text string) inspector.Answer {
	status, body := post(c, daemon, "/ask", experimenter.OperatorKey, text)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	var answer inspector.Answer
	c.Assert(json.Unmarshal([]byte(body), &answer), qt.IsNil)
	return answer
}

func column(topic interpreter.Topic, row interpreter.Row, name string) string {
	schema, _ := interpreter.SchemaOf(string(topic))
	return schema.Get(row, name)
}

func TestOperatorsPort(t *testing.T) {
	fleet := startFleet(t)
	for _, test := range []struct {
		name string
		run  func(*qt.C, *experimenter.Fleet)
	}{
		{"anyInstanceAnswersForTheFleet", anyInstanceAnswersForTheFleet},
		{"oneCallIsExplainedByAnyInstance", oneCallIsExplainedByAnyInstance},
		{"commandIsFollowedUntilInForceEverywhere", commandIsFollowedUntilInForceEverywhere},
		{"lostRaceShowsTheWinner", lostRaceShowsTheWinner},
		{"faultsOfOperatorsAreTyped", faultsOfOperatorsAreTyped},
		{"metricsOfThePageAreExposed", metricsOfThePageAreExposed},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(qt.New(t), fleet) })
	}
}

// metricsOfThePageAreExposed holds docs/operators/alarms.md true.
func metricsOfThePageAreExposed(c *qt.C, fleet *experimenter.Fleet) {
	page, err := os.ReadFile("../docs/operators/alarms.md")
	c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(http.MethodGet, "http://"+fleet.Daemons[0].Self().OperatorAddress+"/metrics", http.NoBody)
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+experimenter.OperatorKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	exposed, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	names := regexp.MustCompile(`hemlocktally_[a-z_]+`).FindAllString(string(page), -1)
	c.Assert(len(names) > 5, qt.IsTrue)
	for _, name := range names {
		name = strings.TrimSuffix(name, "_bucket")
		c.Check(string(exposed), qt.Contains, "# HELP "+name+" ")
	}
}

func anyInstanceAnswersForTheFleet(c *qt.C, fleet *experimenter.Fleet) {
	for _, daemon := range fleet.Daemons {
		response, err := http.Get("http://" + daemon.Self().CallerAddress + "/nothing")
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	for _, daemon := range fleet.Daemons {
		answer := ask(c, daemon, "show Refusals where Reason = NoContract")
		c.Assert(answer.Rows, qt.HasLen, 1)
		// The calls themselves tell who made one too many.
		calls := ask(c, daemon, "show Calls where Outcome = NotRun limit 20")
		c.Check(column(answer.Topic, answer.Rows[0], "Count"), qt.Equals, "3", qt.Commentf("%v", calls.Rows))
		c.Check(column(answer.Topic, answer.Rows[0], "Outcome"), qt.Equals, "NotRun")
		c.Check(answer.Unreached(), qt.HasLen, 0)
	}
	for _, schema := range interpreter.Schemas() {
		answer := ask(c, fleet.Daemons[0], "show "+string(schema.Topic))
		for _, row := range answer.Rows {
			c.Check(row.Values, qt.HasLen, len(schema.Columns), qt.Commentf("%s", schema.Topic))
		}
	}
	c.Check(ask(c, fleet.Daemons[1], "show Targets").Rows, qt.HasLen, 32)
}

func oneCallIsExplainedByAnyInstance(c *qt.C, fleet *experimenter.Fleet) {
	response, err := http.Get("http://" + fleet.Daemons[0].Self().CallerAddress + "/catalogue/7")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	call := response.Header.Get(hemlocktally.HeaderCall)
	c.Assert(call, qt.Not(qt.Equals), "")
	_, body := post(c, fleet.Daemons[2], "/ask", experimenter.OperatorKey, "explain Call "+call)
	var explained inspector.Explanation
	c.Assert(json.Unmarshal([]byte(body), &explained), qt.IsNil)
	c.Assert(explained.Call, qt.IsNotNil)
	c.Check(explained.Call.Contract, qt.Equals, hemlocktally.ContractName("PublicSearch"))
	c.Check(explained.Call.Attempts, qt.HasLen, 1)
}

func commandIsFollowedUntilInForceEverywhere(c *qt.C, fleet *experimenter.Fleet) {
	status, body := post(c, fleet.Daemons[0], "/tell", experimenter.OperatorKey, `take out AvailabilityZone kingston-a wait because "rotation"`)
	c.Assert(status, qt.Equals, http.StatusOK)
	var last commander.StepMsg
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		last = commander.StepMsg{}
		c.Assert(json.Unmarshal(lines.Bytes(), &last), qt.IsNil)
	}
	c.Check(last.Kind, qt.Equals, commander.StepInForce)
	c.Check(last.InForce, qt.Equals, 3)
	for _, daemon := range fleet.Daemons {
		answer := ask(c, daemon, "show AvailabilityZones where Out = true")
		c.Assert(answer.Rows, qt.HasLen, 1)
		c.Check(answer.Rows[0].Values[0], qt.Equals, "kingston-a")
	}
	revision := ask(c, fleet.Daemons[0], "show Revisions order by Revision desc limit 1").Rows[0]
	c.Check(column(interpreter.TopicRevisions, revision, "Author"), qt.Equals, "operator")
}

func lostRaceShowsTheWinner(c *qt.C, fleet *experimenter.Fleet) {
	status, _ := post(c, fleet.Daemons[0], "/tell", experimenter.OperatorKey, "take out AvailabilityZone kingston-a wait")
	c.Assert(status, qt.Equals, http.StatusOK)
	status, body := post(c, fleet.Daemons[1], "/tell", experimenter.OperatorKey, "bring back AvailabilityZone kingston-a base 1")
	c.Check(status, qt.Equals, http.StatusConflict)
	var fault commander.Fault
	c.Assert(json.Unmarshal([]byte(body), &fault), qt.IsNil)
	c.Check(fault.Kind, qt.Equals, commander.FaultConflict)
	c.Check(fault.Winner.Change.Author, qt.Equals, "operator")
}

func faultsOfOperatorsAreTyped(c *qt.C, fleet *experimenter.Fleet) {
	for _, test := range []struct {
		path, key, text string
		status          int
		kind            commander.FaultKind
	}{
		{"/ask", "wrong-key-of-an-operator", "show Calls", http.StatusUnauthorized, commander.FaultKey},
		{"/ask", "", "show Calls", http.StatusUnauthorized, commander.FaultKey},
		{"/ask", experimenter.PeerKey, "show Calls", http.StatusUnauthorized, commander.FaultKey},
		{"/ask", experimenter.OperatorKey, "show Call", http.StatusBadRequest, commander.FaultSyntax},
		{"/ask", experimenter.OperatorKey, "take out Instance entry-1", http.StatusBadRequest, commander.FaultSyntax},
		{"/tell", experimenter.OperatorKey, "show Calls", http.StatusBadRequest, commander.FaultSyntax},
		{"/tell", experimenter.OperatorKey, "take out AvailabilityZone atlantis", http.StatusBadRequest, commander.FaultPlan},
		{"/tell", experimenter.OperatorKey, "change Contract Holds set Hedge = true", http.StatusBadRequest, commander.FaultPlan},
	} {
		status, body := post(c, fleet.Daemons[0], test.path, test.key, test.text)
		var fault commander.Fault
		c.Assert(json.Unmarshal([]byte(body), &fault), qt.IsNil, qt.Commentf("%s", body))
		c.Check(status, qt.Equals, test.status, qt.Commentf("%s", test.text))
		c.Check(fault.Kind, qt.Equals, test.kind, qt.Commentf("%s", test.text))
	}
}
