package configurator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	offerTimeout = time.Second
	pullTimeout  = 5 * time.Second
	// offerBytesLimit bounds the changes that go out unasked.
	offerBytesLimit = 64 << 10
)

// peers returns the other members that may answer.
func (c *Configurator) peers() []hemlocktally.Instance {
	if c.Members == nil {
		return nil
	}
	var peers []hemlocktally.Instance
	for _, m := range c.Members.View().Members {
		if m.ID != c.Self && m.State != hemlocktally.InstanceSuspect && m.PeerAddress != "" {
			peers = append(peers, m)
		}
	}
	return peers
}

func (c *Configurator) peer(address string) messenger.Configuration {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return messenger.NewConfigurationProtobufClient("http://"+address, client)
}

func (c *Configurator) count(list ...proto.Message) {
	for _, message := range list {
		c.messages.Add(1)
		c.bytes.Add(uint64(proto.Size(message)))
	}
}

// Acting returns the revision that this instance acts on.
func (c *Configurator) Acting() hemlocktally.Revision {
	revision := c.accepted().Revision
	if c.Applied != nil {
		revision = min(revision, c.Applied())
	}
	return revision
}

// offer hands a peer what it lacks by its own report, and returns the revision
// that it then acts on.
func (c *Configurator) offer(ctx context.Context, peer hemlocktally.Instance) (hemlocktally.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	c.mu.Lock()
	present := c.state.Accepted()
	changes, _ := c.state.ChangesAfter(max(peer.Revision, present.Revision-min(present.Revision, fanout)))
	stops := c.state.Stops("")
	c.mu.Unlock()
	request := &messenger.OfferRequest{
		Instance: string(c.Self), Revision: uint64(present.Revision), Hash: present.Hash,
		Changes: documents(changes), Stops: documents(stops),
	}
	if proto.Size(request) > offerBytesLimit {
		request.Changes = nil
	}
	answer, err := c.peer(peer.PeerAddress).Offer(ctx, request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	c.count(request, answer)
	return hemlocktally.Revision(answer.GetRevision()), nil
}

// Offer takes what a peer has in force.
func (c *Configurator) Offer(_ context.Context, in *messenger.OfferRequest) (*messenger.OfferResponse, error) {
	c.update(ChangesMsg{Changes: parse[hemlocktally.Accepted](in.GetChanges()), Source: in.GetInstance()})
	c.update(RevisionMsg{Revision: hemlocktally.Revision(in.GetRevision()), Hash: in.GetHash(), Source: in.GetInstance()})
	c.update(StopsMsg{Stops: parse[hemlocktally.ProvisionalStop](in.GetStops())})
	answer := &messenger.OfferResponse{Revision: uint64(c.Acting()), Hash: c.accepted().Hash}
	c.count(in, answer)
	return answer, nil
}

// pull asks a peer for what it has beyond this instance.
func (c *Configurator) pull(ctx context.Context, peer hemlocktally.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	present := c.accepted()
	request := &messenger.PullRequest{Instance: string(c.Self), After: uint64(present.Revision), Hash: present.Hash}
	answer, err := c.peer(peer.PeerAddress).Pull(ctx, request)
	if err != nil {
		return
	}
	c.count(request, answer)
	source := string(peer.ID)
	changes := parse[hemlocktally.Accepted](answer.GetChanges())
	if len(answer.GetWhole()) > 0 {
		config, err := unpack(answer.GetWhole())
		if err != nil {
			return
		}
		c.update(SnapshotMsg{Configuration: config, Recent: changes, Source: source})
	} else {
		c.update(ChangesMsg{Changes: changes, Source: source})
	}
	if hemlocktally.Revision(answer.GetRevision()) <= present.Revision {
		c.update(RevisionMsg{Revision: hemlocktally.Revision(answer.GetRevision()), Hash: answer.GetHash(), Source: source})
	}
	c.update(StopsMsg{Stops: parse[hemlocktally.ProvisionalStop](answer.GetStops())})
}

// Pull answers with what the asker lacks, whole where the changes are no longer
// kept.
func (c *Configurator) Pull(_ context.Context, in *messenger.PullRequest) (*messenger.PullResponse, error) {
	c.mu.Lock()
	present := c.state.Accepted()
	changes, kept := c.state.ChangesAfter(hemlocktally.Revision(in.GetAfter()))
	if !kept {
		changes = c.state.recent
	}
	answer := &messenger.PullResponse{
		Revision: uint64(present.Revision), Hash: present.Hash,
		Changes: documents(changes), Stops: documents(c.state.Stops("")),
	}
	c.mu.Unlock()
	if !kept {
		whole, err := pack(present)
		if err != nil {
			return nil, err
		}
		answer.Whole = whole
	}
	c.update(RevisionMsg{Revision: min(present.Revision, hemlocktally.Revision(in.GetAfter())), Hash: in.GetHash(), Source: in.GetInstance()})
	c.count(in, answer)
	return answer, nil
}

func documents[T any](list []T) [][]byte {
	var encoded [][]byte
	for _, item := range list {
		if document, err := json.Marshal(item); err == nil {
			encoded = append(encoded, document)
		}
	}
	return encoded
}

// parse reads documents; it stops at the first that can't be read.
func parse[T any](encoded [][]byte) []T {
	var list []T
	for _, document := range encoded {
		var item T
		if json.Unmarshal(document, &item) != nil {
			break
		}
		list = append(list, item)
	}
	return list
}
