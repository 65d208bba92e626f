// Package inspector answers operators' questions for the whole fleet from any
// instance: it asks every member for its rows, merges them, and marks the parts
// that it could not reach or that are old.
package inspector

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"hemlocktally"
	"hemlocktally/interpreter"
	"hemlocktally/messenger"
	"hemlocktally/recorder"
)

// Source gives the rows of one topic that an instance knows of by itself.
type Source func() []interpreter.Row

const (
	defaultTimeout = time.Second
	// maxParallel bounds the peers that are asked at once.
	maxParallel = 16
	// maxRemembered bounds the answers that are kept for peers out of reach.
	maxRemembered = 256
)

// Inspector answers for one instance and, by its peers, for the fleet. It
// implements messenger.Inspection.
type Inspector struct {
	Self     hemlocktally.InstanceID
	Members  hemlocktally.Viewer
	Sources  map[interpreter.Topic]Source // Sources are asked of every member.
	Locals   map[interpreter.Topic]Source // Locals are asked of the instance that answers the operator only.
	Recorder *recorder.Recorder
	Revision func() hemlocktally.Revision // Revision is the one in force here.
	HTTP     *http.Client                 // HTTP reaches the peers.
	Timeout  time.Duration                // Timeout of one question; zero means one second.

	mu         sync.Mutex
	remembered map[memoryKey]memory
}

type memoryKey struct {
	instance hemlocktally.InstanceID
	topic    interpreter.Topic
}

type memory struct {
	rows []interpreter.Row
	at   time.Time
}

// Inspect answers a peer.
func (i *Inspector) Inspect(_ context.Context, in *messenger.InspectRequest) (*messenger.InspectResponse, error) {
	schema, ok := interpreter.SchemaOf(in.Topic)
	if !ok {
		return nil, twirp.NotFoundError("no topic " + in.Topic)
	}
	out := &messenger.InspectResponse{Instance: string(i.Self)}
	if i.Revision != nil {
		out.Revision = uint64(i.Revision())
	}
	if schema.Topic == interpreter.TopicLatencies {
		distributions, err := wireDistributions(i.Recorder.Distributions())
		out.Distributions = distributions
		return out, err
	}
	if schema.Topic == interpreter.TopicCalls && in.Argument != "" {
		calls, err := i.wholeCall(hemlocktally.CallID(in.Argument))
		out.Calls = calls
		return out, err
	}
	for _, row := range i.rows(schema.Topic) {
		out.Rows = append(out.Rows, wireRow(schema, row))
	}
	return out, nil
}

func (i *Inspector) rows(topic interpreter.Topic) []interpreter.Row {
	source := i.Sources[topic]
	if source == nil {
		return nil
	}
	return source()
}

// wholeCall returns the record of a call, where this instance keeps it.
func (i *Inspector) wholeCall(call hemlocktally.CallID) ([][]byte, error) {
	record, ok := i.Recorder.Find(call)
	if !ok {
		return nil, nil
	}
	encoded, err := json.Marshal(record)
	return [][]byte{encoded}, err
}

// part is what one instance answered.
type part struct {
	Part
	rows          []interpreter.Row
	distributions []recorder.Distribution
	calls         []hemlocktally.CallRecord
}

// gather asks every member, itself included, in the order of their IDs.
func (i *Inspector) gather(ctx context.Context, schema interpreter.TopicSchema, argument string) []part {
	ctx, cancel := context.WithTimeout(ctx, i.timeout())
	defer cancel()
	members := i.membersFor(schema.Topic)
	parts := make([]part, len(members))
	turns := make(chan struct{}, maxParallel)
	var asked sync.WaitGroup
	for n, member := range members {
		asked.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			parts[n] = i.ask(ctx, member, schema, argument)
		})
	}
	asked.Wait()
	return parts
}

// membersFor returns the members that must be asked about a topic.
func (i *Inspector) membersFor(topic interpreter.Topic) []hemlocktally.Instance {
	if i.Sources[topic] != nil || topic == interpreter.TopicLatencies {
		return i.Members.View().Members
	}
	return []hemlocktally.Instance{{ID: i.Self}}
}

func (i *Inspector) timeout() time.Duration {
	if i.Timeout <= 0 {
		return defaultTimeout
	}
	return i.Timeout
}

func (i *Inspector) ask(ctx context.Context, member hemlocktally.Instance, schema interpreter.TopicSchema, argument string) part {
	request := &messenger.InspectRequest{Topic: string(schema.Topic), Argument: argument}
	var out *messenger.InspectResponse
	var err error
	started := time.Now()
	if member.ID == i.Self {
		out, err = i.Inspect(ctx, request)
	} else {
		out, err = i.peer(member).Inspect(ctx, request)
	}
	if err != nil {
		return i.missing(member.ID, schema.Topic, err)
	}
	answer := part{Part: Part{Instance: member.ID, Reached: true, Age: time.Since(started)}}
	for _, row := range out.Rows {
		answer.rows = append(answer.rows, rowOf(schema, row))
	}
	if answer.distributions, err = distributionsOf(out.Distributions); err != nil {
		answer.Detail = err.Error()
	}
	for _, encoded := range out.Calls {
		var record hemlocktally.CallRecord
		if json.Unmarshal(encoded, &record) == nil {
			answer.calls = append(answer.calls, record)
		}
	}
	if argument == "" {
		i.remember(member.ID, schema.Topic, answer.rows)
	}
	return answer
}

func (i *Inspector) peer(member hemlocktally.Instance) messenger.Inspection {
	return messenger.NewInspectionProtobufClient("http://"+member.PeerAddress, i.HTTP)
}

// missing returns the last answer of a peer that did not answer now, with its
// age.
func (i *Inspector) missing(id hemlocktally.InstanceID, topic interpreter.Topic, err error) part {
	i.mu.Lock()
	defer i.mu.Unlock()
	answer := part{Part: Part{Instance: id, Detail: err.Error()}}
	if m, ok := i.remembered[memoryKey{id, topic}]; ok {
		answer.rows = m.rows
		answer.Age = time.Since(m.at)
		answer.Remembered = true
	}
	return answer
}

func (i *Inspector) remember(id hemlocktally.InstanceID, topic interpreter.Topic, rows []interpreter.Row) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.remembered == nil || len(i.remembered) >= maxRemembered {
		i.remembered = map[memoryKey]memory{}
	}
	i.remembered[memoryKey{id, topic}] = memory{rows: rows, at: time.Now()}
}
