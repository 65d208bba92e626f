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
	// maxOfferBytes bounds the size of an offer; a larger one is sent without its
	// changes, and the peer pulls them.
	maxOfferBytes = 64 << 10
)

// peers returns the other members that can be called: those with a peer address
// that are not suspect.
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

func (c *Configurator) peerClient(address string) messenger.Configuration {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return messenger.NewConfigurationProtobufClient("http://"+address, client)
}

func (c *Configurator) countTraffic(exchanged ...proto.Message) {
	for _, message := range exchanged {
		c.messages.Add(1)
		c.bytes.Add(uint64(proto.Size(message)))
	}
}

// ActingRevision returns the revision that this instance acts on: the accepted one, or an
// older one that Applied returns.
func (c *Configurator) ActingRevision() hemlocktally.Revision {
	revision := c.accepted().Revision
	if c.AppliedRevision != nil {
		revision = min(revision, c.AppliedRevision())
	}
	return revision
}

// offer sends a peer the revision in force here, the provisional stops, and the
// last few changes after the revision that the peer reported. It returns the
// revision that the peer acts on afterwards.
func (c *Configurator) offer(ctx context.Context, peer hemlocktally.Instance) (hemlocktally.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	c.mu.Lock()
	current := c.state.Accepted()
	changes, _ := c.state.ChangesAfter(max(peer.Revision, current.Revision-min(current.Revision, fanout)))
	stops := c.state.Stops("")
	c.mu.Unlock()
	request := &messenger.OfferRequest{
		Instance: string(c.Self), Revision: uint64(current.Revision), Hash: current.Hash,
		Changes: encodeAll(changes), Stops: encodeAll(stops),
	}
	if proto.Size(request) > maxOfferBytes {
		request.Changes = nil
	}
	response, err := c.peerClient(peer.PeerAddress).Offer(ctx, request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	c.countTraffic(request, response)
	return hemlocktally.Revision(response.GetRevision()), nil
}

// Offer applies what a peer sends with offer, and returns the revision that this
// instance then acts on. It implements messenger.Configuration.
func (c *Configurator) Offer(_ context.Context, in *messenger.OfferRequest) (*messenger.OfferResponse, error) {
	c.update(ChangesMsg{Changes: decodeAll[hemlocktally.AcceptedChange](in.GetChanges()), Source: in.GetInstance()})
	c.update(RevisionMsg{Revision: hemlocktally.Revision(in.GetRevision()), Hash: in.GetHash(), Source: in.GetInstance()})
	c.update(StopsMsg{Stops: decodeAll[hemlocktally.ProvisionalStop](in.GetStops())})
	response := &messenger.OfferResponse{Revision: uint64(c.ActingRevision()), Hash: c.accepted().Hash}
	c.countTraffic(in, response)
	return response, nil
}

// pull requests from a peer the changes after the revision in force here, and
// applies them. A failed call or an unreadable response is ignored.
func (c *Configurator) pull(ctx context.Context, peer hemlocktally.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	current := c.accepted()
	request := &messenger.PullRequest{Instance: string(c.Self), After: uint64(current.Revision), Hash: current.Hash}
	response, err := c.peerClient(peer.PeerAddress).Pull(ctx, request)
	if err != nil {
		return
	}
	c.countTraffic(request, response)
	source := string(peer.ID)
	changes := decodeAll[hemlocktally.AcceptedChange](response.GetChanges())
	if len(response.GetWhole()) > 0 {
		config, err := unpack(response.GetWhole())
		if err != nil {
			return
		}
		c.update(SnapshotMsg{Configuration: config, Recent: changes, Source: source})
	} else {
		c.update(ChangesMsg{Changes: changes, Source: source})
	}
	if hemlocktally.Revision(response.GetRevision()) <= current.Revision {
		c.update(RevisionMsg{Revision: hemlocktally.Revision(response.GetRevision()), Hash: response.GetHash(), Source: source})
	}
	c.update(StopsMsg{Stops: decodeAll[hemlocktally.ProvisionalStop](response.GetStops())})
}

// Pull returns the changes after the revision of the calling peer, or the whole
// configuration if those changes are no longer retained. It implements
// messenger.Configuration.
func (c *Configurator) Pull(_ context.Context, in *messenger.PullRequest) (*messenger.PullResponse, error) {
	c.mu.Lock()
	current := c.state.Accepted()
	changes, retained := c.state.ChangesAfter(hemlocktally.Revision(in.GetAfter()))
	if !retained {
		changes = c.state.recent
	}
	response := &messenger.PullResponse{
		Revision: uint64(current.Revision), Hash: current.Hash,
		Changes: encodeAll(changes), Stops: encodeAll(c.state.Stops("")),
	}
	c.mu.Unlock()
	if !retained {
		packed, err := pack(current)
		if err != nil {
			return nil, err
		}
		response.Whole = packed
	}
	c.update(RevisionMsg{Revision: min(current.Revision, hemlocktally.Revision(in.GetAfter())), Hash: in.GetHash(), Source: in.GetInstance()})
	c.countTraffic(in, response)
	return response, nil
}

// encodeAll encodes each item as JSON, and omits those that can't be encoded.
func encodeAll[T any](list []T) [][]byte {
	var encoded [][]byte
	for _, item := range list {
		if document, err := json.Marshal(item); err == nil {
			encoded = append(encoded, document)
		}
	}
	return encoded
}

// decodeAll decodes JSON documents up to the first that is invalid.
func decodeAll[T any](encoded [][]byte) []T {
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
