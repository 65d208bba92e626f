package runner_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/imitator"
)

// postHold makes a call with a key through an instance.
func postHold(c *qt.C, fleet *experimenter.Fleet, at int, key, body string) (int, string) {
	url := "http://" + fleet.Daemons[at].Self().CallerAddress + "/holds/7"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set(hemlocktally.HeaderIdempotencyKey, key)
	request.Header.Set(imitator.HeaderWork, "once-"+key)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode, string(answer)
}

func TestRetryThroughAnotherInstanceGetsTheSameAnswer(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	keys := make([]string, 12)
	for i := range keys {
		keys[i] = ulid.Make().String()
		status, first := postHold(c, fleet, i%3, keys[i], "one hold")
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(first))
		status, again := postHold(c, fleet, (i+1)%3, keys[i], "one hold")
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(again, qt.Equals, first)
		status, _ = postHold(c, fleet, (i+2)%3, keys[i], "another hold")
		c.Check(status, qt.Equals, http.StatusUnprocessableEntity)
	}
	// A planned stop hands the records over with the ranges.
	fleet.StopInstance(2)
	for i, key := range keys {
		status, answer := postHold(c, fleet, i%2, key, "one hold")
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf(answer))
	}
	c.Check(fleet.Doubled(), qt.Equals, 0)
	for _, daemon := range fleet.Daemons {
		c.Check(daemon.Claims().BrokenInvariants(), qt.Equals, uint64(0))
	}
}
