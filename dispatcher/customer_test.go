package dispatcher_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// customerDialect names the customer to targets and answers 401 to calls without a valid key.
type customerDialect struct{ namingDialect }

func (customerDialect) WriteAttempt(header http.Header, attempt hemlocktally.AttemptInfo) {
	header.Set("Customer", string(attempt.Customer))
}

func (d customerDialect) WriteRefusal(header http.Header, refused *hemlocktally.RefusedError, call hemlocktally.CallID) int {
	if refused.Reason == hemlocktally.ReasonUnauthorized {
		return http.StatusUnauthorized
	}
	return d.namingDialect.WriteRefusal(header, refused, call)
}

// requestRecorder records the headers that targets get.
type requestRecorder struct {
	mu      sync.Mutex
	headers []http.Header
}

func (r *requestRecorder) respond(_ int64, request *http.Request, conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headers = append(r.headers, request.Header)
	return writeText(conn, okResponse)
}

func (r *requestRecorder) last() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[len(r.headers)-1]
}

func (h *harness) declareCustomer(name hemlocktally.CustomerName, keys ...string) {
	h.Dialect = customerDialect{}
	config := &h.config.config
	config.KeysRequired = true
	config.Customers = append(config.Customers, hemlocktally.Customer{Name: name, Priority: 5, PrioritySet: true})
	if config.CustomerKeys == nil {
		config.CustomerKeys = hemlocktally.CustomerKeys{}
	}
	for _, key := range keys {
		config.CustomerKeys[hemlocktally.DigestKey(key)] = int32(len(config.Customers) - 1)
	}
}

// Guards against requests without a valid key that run, and against a key that reaches a target.
func TestCallsNeedACustomersKey(t *testing.T) {
	c := qt.New(t)
	var got requestRecorder
	target := startScriptedTarget(t, got.respond)
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute, Priority: 1}, target)
	h.declareCustomer("first", "k1")
	for _, header := range [][]string{
		{},
		{"Authorization", "Bearer unknown"},
		{"Authorization", "Basic k1"},
		{"Authorization", "k1"},
		{"Authorization", "Bearer "},
		{"Authorization", "Bearer k1", "Authorization", "Bearer unknown"},
		{"Customer", "first"},
	} {
		c.Check(h.send(http.MethodGet, "/", "", header...).status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%v", header))
	}
	c.Assert(target.runs.Load(), qt.Equals, int64(0))
	c.Assert(h.send(http.MethodGet, "/", "", "Authorization", "bearer  k1", "Customer", "forged").status, qt.Equals, http.StatusOK)
	c.Check(got.last()["Authorization"], qt.IsNil)
	c.Check(got.last()["Customer"], qt.DeepEquals, []string{"first"})
	request := h.granter.requests[0]
	c.Check(request.Customer, qt.Equals, hemlocktally.CustomerName("first"))
	c.Check(request.Priority, qt.Equals, hemlocktally.Priority(5)) // The customer's goes before the contract's.
}

// Guards against a public contract that asks for a key, or that ignores a valid one.
func TestPublicContractsNeedNoKey(t *testing.T) {
	c := qt.New(t)
	var got requestRecorder
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute, Public: true}, startScriptedTarget(t, got.respond))
	h.declareCustomer("first", "k1")
	c.Assert(h.send(http.MethodGet, "/", "", "Authorization", "Bearer unknown").status, qt.Equals, http.StatusOK)
	c.Check(got.last()["Authorization"], qt.IsNil)
	c.Check(got.last().Get("Customer"), qt.Equals, "")
	c.Assert(h.send(http.MethodGet, "/", "", "Authorization", "Bearer k1").status, qt.Equals, http.StatusOK)
	c.Check(got.last().Get("Customer"), qt.Equals, "first")
}

// Guards against a key that is withdrawn and goes on working on an open connection.
func TestWithdrawnKeyEndsOnOpenConnections(t *testing.T) {
	c := qt.New(t)
	var got requestRecorder
	h := newHarness(t, hemlocktally.Contract{Deadline: time.Minute}, startScriptedTarget(t, got.respond))
	h.declareCustomer("first", "k1")
	transport := &http.Transport{MaxConnsPerHost: 1}
	c.Assert(h.sendKept(transport, "Bearer k1"), qt.Equals, http.StatusOK)
	delete(h.config.config.CustomerKeys, hemlocktally.DigestKey("k1"))
	c.Assert(h.sendKept(transport, "Bearer k1"), qt.Equals, http.StatusUnauthorized)
	transport.CloseIdleConnections()
}

// sendKept makes a call and keeps the connection open.
func (h *harness) sendKept(transport *http.Transport, authorization string) int {
	request, err := http.NewRequest(http.MethodGet, h.url+"/", nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", authorization)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a call that is handed over to another instance without its key, and against the
// key reaching that instance's target.
func TestHandedOverCallKeepsItsCustomer(t *testing.T) {
	c := qt.New(t)
	var got requestRecorder
	isolated, peer, _ := newPair(t, hemlocktally.Contract{Deadline: time.Minute}, startScriptedTarget(t, got.respond))
	isolated.declareCustomer("first", "k1")
	peer.declareCustomer("first", "k1")
	c.Assert(isolated.send(http.MethodGet, "/", "", "Authorization", "Bearer k1").status, qt.Equals, http.StatusOK)
	c.Check(got.last()["Authorization"], qt.IsNil)
	c.Check(got.last().Get("Customer"), qt.Equals, "first")
}
