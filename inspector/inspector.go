// Package inspector answers operators' queries for the whole fleet on any
// instance: it requests the rows of every member, merges them, and marks the
// members that did not respond and the rows that come from an earlier response.
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

// Source returns the rows of one topic that an instance knows without asking
// other instances.
type Source func() []interpreter.Row

const (
	defaultTimeout = time.Second
	// maxConcurrentRequests limits how many members are asked at the same time.
	maxConcurrentRequests = 16
	// maxCachedAnswers limits the answers that are kept for peers that become
	// unreachable. The cache is cleared when it is full.
	maxCachedAnswers = 256
)

// Inspector answers queries for one instance and, by asking its peers, for the
// fleet. It implements messenger.Inspection. It is safe for concurrent use.
type Inspector struct {
	Self         hemlocktally.InstanceID
	Members      hemlocktally.ViewSource
	Sources      map[interpreter.Topic]Source // Sources holds the topics that every member is asked for.
	LocalSources map[interpreter.Topic]Source // LocalSources holds the sources that only the instance that answers the operator reads.
	Recorder     *recorder.Recorder
	Revision     func() hemlocktally.Revision // Revision returns the configuration revision in force on this instance; it may be nil.
	HTTP         *http.Client                 // HTTP is the client for requests to peers.
	Timeout      time.Duration                // Timeout of one query; zero means one second.

	mu    sync.Mutex
	cache map[cacheKey]cachedRows
}

type cacheKey struct {
	instance hemlocktally.InstanceID
	topic    interpreter.Topic
}

type cachedRows struct {
	rows []interpreter.Row
	at   time.Time
}

// Inspect returns this instance's rows for the requested topic, or its
// distributions or the record of a call. An unknown topic is a twirp NotFound
// error.
func (i *Inspector) Inspect(_ context.Context, in *messenger.InspectRequest) (*messenger.InspectResponse, error) {
	schema, ok := interpreter.SchemaOf(in.Topic)
	if !ok {
		return nil, twirp.NotFoundError("unknown topic " + in.Topic)
	}
	out := &messenger.InspectResponse{Instance: string(i.Self)}
	if i.Revision != nil {
		out.Revision = uint64(i.Revision())
	}
	if schema.Topic == interpreter.TopicLatencies {
		distributions, err := toWireDistributions(i.Recorder.Distributions())
		out.Distributions = distributions
		return out, err
	}
	if schema.Topic == interpreter.TopicCalls && in.Argument != "" {
		calls, err := i.encodedCall(hemlocktally.CallID(in.Argument))
		out.Calls = calls
		return out, err
	}
	for _, row := range i.rows(schema.Topic) {
		out.Rows = append(out.Rows, toWireRow(schema, row))
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

// encodedCall returns the record of a call as JSON, or nothing if this instance
// has none.
func (i *Inspector) encodedCall(call hemlocktally.CallID) ([][]byte, error) {
	record, ok := i.Recorder.Find(call)
	if !ok {
		return nil, nil
	}
	encoded, err := json.Marshal(record)
	return [][]byte{encoded}, err
}

// memberAnswer is the response of one instance.
type memberAnswer struct {
	Part
	rows          []interpreter.Row
	distributions []recorder.Distribution
	calls         []hemlocktally.CallRecord
}

// gather asks every member, including this instance, concurrently and returns
// their answers in the order of the members.
func (i *Inspector) gather(ctx context.Context, schema interpreter.TopicSchema, argument string) []memberAnswer {
	ctx, cancel := context.WithTimeout(ctx, i.timeout())
	defer cancel()
	members := i.membersFor(schema.Topic)
	parts := make([]memberAnswer, len(members))
	slots := make(chan struct{}, maxConcurrentRequests)
	var requests sync.WaitGroup
	for n, member := range members {
		requests.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			parts[n] = i.ask(ctx, member, schema, argument)
		})
	}
	requests.Wait()
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

func (i *Inspector) ask(ctx context.Context, member hemlocktally.Instance, schema interpreter.TopicSchema, argument string) memberAnswer {
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
		return i.cachedAnswer(member.ID, schema.Topic, err)
	}
	answer := memberAnswer{Part: Part{Instance: member.ID, Reached: true, Age: time.Since(started)}}
	for _, row := range out.Rows {
		answer.rows = append(answer.rows, fromWireRow(schema, row))
	}
	if answer.distributions, err = fromWireDistributions(out.Distributions); err != nil {
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

// cachedAnswer returns the previous answer of a peer that did not respond, with
// its age and the error.
func (i *Inspector) cachedAnswer(id hemlocktally.InstanceID, topic interpreter.Topic, err error) memberAnswer {
	i.mu.Lock()
	defer i.mu.Unlock()
	answer := memberAnswer{Part: Part{Instance: id, Detail: err.Error()}}
	if m, ok := i.cache[cacheKey{id, topic}]; ok {
		answer.rows = m.rows
		answer.Age = time.Since(m.at)
		answer.Remembered = true
	}
	return answer
}

func (i *Inspector) remember(id hemlocktally.InstanceID, topic interpreter.Topic, rows []interpreter.Row) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cache == nil || len(i.cache) >= maxCachedAnswers {
		i.cache = map[cacheKey]cachedRows{}
	}
	i.cache[cacheKey{id, topic}] = cachedRows{rows: rows, at: time.Now()}
}
