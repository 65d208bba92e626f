package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// try is one request of a client, with its own ID.
type try struct {
	id       string
	sent     time.Time // sent is when its last byte was sent.
	answered time.Time // answered is when its whole answer had arrived.
	status   int
	ended    time.Time // ended is when the connection ended without a whole answer.
	failure  string    // failure says how it ended without a whole answer.
	closed   bool      // closed is set where the answer said that the connection closes.
	wrong    string    // wrong says what is wrong with a success.
}

func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// conn is a client's connection to an instance.
type conn struct {
	net.Conn
	reader *bufio.Reader
	record *record
	name   string
	mu     sync.Mutex
	tries  []*try
}

func dial(name, address string, r *record) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReader(c), record: r, name: name}, nil
}

// send sends one request without waiting for its answer.
func (c *conn) send(method, host, path string, deadline time.Duration) (*try, error) {
	t := &try{id: newRequestID()}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, t.id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	c.record.add("%s: request %s (%s) is sent", c.name, t.id, path)
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		return t, err
	}
	t.sent = time.Now()
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	return t, nil
}

// receive reads the answer to a request and checks it.
func (c *conn) receive(t *try) bool {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.fail(t, "no answer", err)
		return false
	}
	t.status, t.closed = response.StatusCode, response.Close
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.fail(t, "an answer that ends early", err)
		return false
	}
	t.answered = time.Now()
	switch id := response.Header.Get("Request-Id"); {
	case id != t.id:
		t.wrong = "the answer of request " + id
	case t.status < 300 && !strings.HasSuffix(response.Header.Get("Response-Seal"), t.id):
		t.wrong = "no seal"
	case t.status < 300 && string(body) != string(bodyOf(t.id, len(body))):
		t.wrong = "another body"
	}
	c.record.add("%s: request %s is answered %d, whole, connection closes: %v %s", c.name, t.id, t.status, t.closed, t.wrong)
	return !t.closed
}

// fail notes that the connection ended without a whole answer.
func (c *conn) fail(t *try, what string, err error) {
	t.ended = time.Now()
	how := "by a reset"
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		how = "by a FIN"
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		how = "by the client's patience"
	}
	t.failure = fmt.Sprintf("%s; the connection ends %s %d ms after its last byte was sent", what, how, time.Since(t.sent).Milliseconds())
	c.record.add("%s: request %s gets %s", c.name, t.id, t.failure)
}
