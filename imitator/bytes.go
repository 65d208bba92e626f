package imitator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// UpstreamBytes is what comes over an upstream's connections.
type UpstreamBytes int

// What an upstream in trouble sends.
const (
	BytesPlain       UpstreamBytes = iota // BytesPlain is plain answers.
	BytesEndlessHead                      // BytesEndlessHead is a head without end.
	BytesEndlessBody                      // BytesEndlessBody is a body without end and without a length.
	BytesHeadless                         // BytesHeadless is bytes that are no answer, without end.
	BytesLateCopy                         // BytesLateCopy is each answer, and a moment later the same one again.
)

const (
	endlessChunk = 16 << 10
	copyDelay    = 3 * time.Millisecond // copyDelay is the time from an answer to its copy.
)

// answerRaw takes the connection over and answers in the faulty way until the
// other end closes.
func (u *Upstream) answerRaw(w http.ResponseWriter, r *http.Request, faults UpstreamFaults, body string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get("Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: 1\r\n", id)
	switch faults.Bytes {
	case BytesEndlessHead:
		endless(conn, head, "X-More: "+strings.Repeat("x", endlessChunk)+"\r\n")
	case BytesEndlessBody:
		endless(conn, head+"\r\n", strings.Repeat("x", endlessChunk))
	case BytesHeadless:
		endless(conn, "", strings.Repeat("x", endlessChunk))
	case BytesLateCopy:
		u.answerTwice(conn, buffered.Reader, id, body)
	case BytesPlain:
	}
}

// endless writes until the other end closes.
func endless(conn net.Conn, first, more string) {
	if _, err := io.WriteString(conn, first); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(conn, more); err != nil {
			return
		}
	}
}

// answerTwice answers each request of the connection twice.
func (u *Upstream) answerTwice(conn net.Conn, in *bufio.Reader, id, body string) {
	for {
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		text := u.text(id, body)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %d\r\nContent-Length: %d\r\n\r\n%s", id, len(text), len(text), text)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		time.AfterFunc(copyDelay, func() { _, _ = io.WriteString(conn, answer) })
		next, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		read, err := io.ReadAll(next.Body)
		if err != nil {
			return
		}
		time.Sleep(u.Work)
		id, body = next.Header.Get("Request-Id"), string(read)
	}
}

// reset closes the connection so that the other end sees a reset.
func reset(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
