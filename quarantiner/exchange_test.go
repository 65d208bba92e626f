package quarantiner_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/messenger"
	"hemlocktally/quarantiner"
)

// hubs is a view whose members can be changed.
type hubs struct{ members []hemlocktally.Instance }

func (h *hubs) View() hemlocktally.View { return hemlocktally.View{Members: h.members} }

// startInstances starts quarantines that all see the given number of hubs, the first ones.
func startInstances(t *testing.T, hubCount, count int) ([]*quarantiner.Quarantiner, *hubs) {
	t.Helper()
	view := &hubs{}
	var list []*quarantiner.Quarantiner
	for n := range count {
		id := hemlocktally.InstanceID(rune('a' + n))
		q := &quarantiner.Quarantiner{Self: id, View: view}
		server := httptest.NewServer(messenger.NewQuarantineServer(q))
		t.Cleanup(server.Close)
		q.HTTP = server.Client()
		list = append(list, q)
		if n < hubCount {
			view.members = append(view.members, hemlocktally.Instance{ID: id, PeerAddress: server.Listener.Addr().String(), State: hemlocktally.InstanceServing})
		}
	}
	return list, view
}

// ask exchanges as a request for a grant does.
func ask(client, hub *quarantiner.Quarantiner) {
	out, version := client.Outgoing(hub.Self)
	client.Incoming(hub.Self, hub.Answer(out), version)
}

func held(q *quarantiner.Quarantiner) bool {
	_, refused := q.Check(fingerprint(1))
	return refused != nil
}

func await(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatal(what)
		}
	}
}

// reportCrashes lets three instances each see one crash of the request.
func reportCrashes(reporters ...*quarantiner.Quarantiner) {
	for _, q := range reporters {
		q.RecordCrash(fingerprint(1), "s", hemlocktally.Target{Name: hemlocktally.TargetName(q.Self)})
		time.Sleep(60 * time.Millisecond)
	}
}

// Each of three instances sees one crash; one that has seen none holds the request back with the
// next answer of a hub.
func TestCrashesOfAllInstancesCountTogether(t *testing.T) {
	c := qt.New(t)
	list, _ := startInstances(t, 2, 6)
	c.Check(list[5].Empty(), qt.IsTrue)
	out, _ := list[5].Outgoing("a")
	c.Check(out, qt.IsNil, qt.Commentf("without suspects nothing is sent"))
	reportCrashes(list[2], list[3], list[4])
	await(c, "the hubs hold the request back", func() bool { return held(list[0]) && held(list[1]) })
	c.Check(held(list[5]), qt.IsFalse)
	ask(list[5], list[1])
	c.Check(held(list[5]), qt.IsTrue)
	out, _ = list[5].Outgoing("b")
	c.Check(out.GetSuspects(), qt.HasLen, 0, qt.Commentf("the hub is not told what it told"))
}

// The instance that counted is gone; the next one learns what was counted from whoever asks it.
func TestCountOutlivesTheHub(t *testing.T) {
	c := qt.New(t)
	list, view := startInstances(t, 1, 4)
	reportCrashes(list[1], list[2], list[3])
	await(c, "the hub holds the request back", func() bool { return held(list[0]) })
	ask(list[1], list[0])
	next, _ := startInstances(t, 0, 1)
	next[0].Self = "z"
	view.members = nil
	ask(list[1], next[0])
	c.Check(held(next[0]), qt.IsTrue)

	// A hub that has restarted under its name is told anew.
	again, _ := startInstances(t, 0, 1)
	again[0].Self = "z"
	ask(list[1], again[0]) // The instance learns that this hub knows nothing.
	ask(list[1], again[0])
	c.Check(held(again[0]), qt.IsTrue)
}

// Two hubs count at the same time and know of each other's crashes only by the instances.
func TestTwoHubsDoNotDoubleTheCrashes(t *testing.T) {
	c := qt.New(t)
	list, view := startInstances(t, 2, 4)
	both := view.members
	view.members = both[:1]
	reportCrashes(list[2])
	view.members = both[1:]
	reportCrashes(list[3])
	ask(list[2], list[1])
	list[2].RecordCrash(fingerprint(1), "s", hemlocktally.Target{Name: "9"})
	await(c, "one hub knows of all crashes", func() bool { return held(list[1]) })
}

// A completion anywhere releases the request everywhere.
func TestReleaseReachesAllInstances(t *testing.T) {
	c := qt.New(t)
	list, _ := startInstances(t, 2, 4)
	reportCrashes(list[1], list[2], list[3])
	await(c, "the hubs hold the request back", func() bool { return held(list[0]) && held(list[1]) })
	ask(list[2], list[0])
	ask(list[3], list[1])
	c.Check(held(list[2]), qt.IsTrue)
	list[3].Release(fingerprint(1), "operator")
	await(c, "the hubs release the request", func() bool { return !held(list[0]) && !held(list[1]) })
	ask(list[2], list[0])
	c.Check(held(list[2]), qt.IsFalse)
}

// FuzzExchange decodes what another instance sends: no message harms this one, and what is told
// on stays within its bounds.
func FuzzExchange(f *testing.F) {
	valid, err := proto.Marshal(&messenger.SuspectExchange{Version: 1 << 40, Known: 3, Suspects: []*messenger.Suspect{{
		Request: make([]byte, 16), ClearedAgeMicroseconds: -5, ClearedBy: "x", Crashes: []*messenger.TargetCrash{{Target: "t", AgeMicroseconds: 1 << 62}, {}},
	}, {Request: []byte{1}}, nil}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &messenger.SuspectExchange{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		q := &quarantiner.Quarantiner{Self: "a", View: &hubs{}}
		q.Incoming("b", in, 0)
		out := q.Answer(in)
		for _, s := range out.GetSuspects() {
			if len(s.GetRequest()) != hemlocktally.FingerprintBytes || len(s.GetCrashes()) > 16 {
				t.Fatalf("%v", s)
			}
		}
		_, _ = q.Check(fingerprint(1))
		q.Release(fingerprint(1), "operator")
	})
}
