package messenger_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/messenger"
)

// The address of an instance may belong to another program, or the instance may
// be faulty: reading an endless response must fail at the size limit.
func TestEndlessResponseFailsAtLimit(t *testing.T) {
	c := qt.New(t)
	var sent atomic.Int64
	chunk := strings.Repeat("x", 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for r.Context().Err() == nil {
			n, err := io.WriteString(w, chunk)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	client := &http.Client{Transport: messenger.LimitResponses(&http.Transport{})}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := messenger.NewPlacementProtobufClient(server.URL, client).Place(ctx, &messenger.PlaceRequest{})
	c.Check(err, qt.ErrorMatches, "(?s).*request body too large.*")
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the call must fail before its deadline"))
	c.Check(sent.Load() < 32<<20, qt.IsTrue, qt.Commentf("%d MiB", sent.Load()>>20))
}
