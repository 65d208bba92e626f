package inspector_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/inspector"
	"hemlocktally/interpreter"
	"hemlocktally/messenger"
	"hemlocktally/recorder"
)

type fixedView []hemlocktally.Instance

func (v fixedView) View() hemlocktally.View { return hemlocktally.View{Members: v} }

func rows(values ...[]string) inspector.Source {
	return func() []interpreter.Row {
		var list []interpreter.Row
		for _, v := range values {
			list = append(list, interpreter.Row{Values: v})
		}
		return list
	}
}

// newFleet returns an inspector and the server of its only peer.
func newFleet(c *qt.C, topic interpreter.Topic, local, remote inspector.Source) (*inspector.Inspector, *httptest.Server) {
	peer := &inspector.Inspector{Self: "b", Recorder: &recorder.Recorder{}, Sources: map[interpreter.Topic]inspector.Source{topic: remote}}
	server := httptest.NewServer(messenger.NewInspectionServer(peer))
	c.Cleanup(server.Close)
	view := fixedView{
		{ID: "a"}, {ID: "b", PeerAddress: strings.TrimPrefix(server.URL, "http://")},
	}
	return &inspector.Inspector{
		Self: "a", Members: view, Recorder: &recorder.Recorder{}, HTTP: &http.Client{}, Timeout: 5 * time.Second,
		Sources: map[interpreter.Topic]inspector.Source{topic: local},
	}, server
}

func TestRefusalsAreSummedAcrossInstances(t *testing.T) {
	c := qt.New(t)
	i, _ := newFleet(c, interpreter.TopicRefusals,
		rows([]string{"A", "Shed", "NotRun", "3", "2026-01-02T00:00:00Z", "2026-01-03T00:00:00Z", "1"}),
		rows([]string{"A", "Shed", "NotRun", "4", "2026-01-01T00:00:00Z", "2026-01-02T00:00:00Z", "1"}))
	answer := i.Ask(context.Background(), interpreter.Query{Topic: interpreter.TopicRefusals})
	c.Check(answer.Rows, qt.DeepEquals, []interpreter.Row{
		{Values: []string{"A", "Shed", "NotRun", "7", "2026-01-01T00:00:00Z", "2026-01-03T00:00:00Z", "2"}},
	})
}

func TestSharesAreComputedAfterMerging(t *testing.T) {
	c := qt.New(t)
	i, _ := newFleet(c, interpreter.TopicTargets,
		rows([]string{"s", "s-10", "z", "Warm", "1", "2", "30", "", "5ms", "a", ""}),
		rows([]string{"s", "s-2", "z", "Cold", "1", "1", "10", "", "9ms", "b", "new"}))
	answer := i.Ask(context.Background(), interpreter.Query{Topic: interpreter.TopicTargets})
	c.Assert(answer.Rows, qt.HasLen, 2)
	c.Check(answer.Rows[0].Values, qt.DeepEquals, []string{"s", "s-2", "z", "Cold", "1", "1", "10", "25.0", "9ms", "b", "new"})
	c.Check(answer.Rows[1].Values[7], qt.Equals, "75.0")
}

func TestUnreachablePeerIsMarkedAndServedFromCache(t *testing.T) {
	c := qt.New(t)
	i, server := newFleet(c, interpreter.TopicStore, rows([]string{"a", "1", "1", "false"}), rows([]string{"b", "2", "2", "false"}))
	query := interpreter.Query{Topic: interpreter.TopicStore}
	c.Check(i.Ask(context.Background(), query).Unreached(), qt.HasLen, 0)
	server.Close()
	answer := i.Ask(context.Background(), query)
	c.Assert(answer.Unreached(), qt.HasLen, 1)
	c.Check(answer.Unreached()[0].Remembered, qt.IsTrue)
	c.Check(answer.Unreached()[0].Age > 0, qt.IsTrue)
	c.Check(answer.Rows, qt.HasLen, 2)
}

func TestAnswerJSONRoundTrip(t *testing.T) {
	c := qt.New(t)
	i, _ := newFleet(c, interpreter.TopicStore, rows([]string{"a", "1", "", "false"}), rows())
	answer := i.Ask(context.Background(), interpreter.Query{Topic: interpreter.TopicStore})
	encoded, err := json.Marshal(answer)
	c.Assert(err, qt.IsNil)
	c.Check(string(encoded), qt.Contains, `"Rows":[{"Instance":"a","Calls":1,"CallsPerSecond":null,"Frozen":false}]`)
	var decoded inspector.Answer
	c.Assert(json.Unmarshal(encoded, &decoded), qt.IsNil)
	c.Check(decoded, qt.DeepEquals, answer)
}
