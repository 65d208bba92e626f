// Package overloader imitates clients that send more than an instance can hold, or as
// little as keeps a connection open. It is for tests.
package overloader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Kind is what the clients of a crowd do.
type Kind string

// The kinds of clients.
const (
	KindDistinctLines Kind = "distinct lines"   // KindDistinctLines sends heads of legal size made of short lines with different names.
	KindEqualLines    Kind = "equal lines"      // KindEqualLines sends heads of legal size made of one short line, repeated.
	KindEndlessHead   Kind = "endless head"     // KindEndlessHead sends short lines without end.
	KindEndlessLine   Kind = "endless line"     // KindEndlessLine sends a header line without end.
	KindEmptyLines    Kind = "empty lines"      // KindEmptyLines sends empty lines without end behind a request, where the next one would start.
	KindSizedBodies   Kind = "sized bodies"     // KindSizedBodies sends large bodies with a length at once.
	KindSizedPieces   Kind = "sized pieces"     // KindSizedPieces sends large bodies with a length piece by piece.
	KindChunkedBodies Kind = "chunked bodies"   // KindChunkedBodies sends large chunked bodies at once.
	KindChunkedPieces Kind = "chunked pieces"   // KindChunkedPieces sends large chunked bodies piece by piece.
	KindUnread        Kind = "unread responses" // KindUnread sends many requests and reads no response.
	KindIdle          Kind = "idle"             // KindIdle opens connections and sends nothing.
	KindSlowHeads     Kind = "slow heads"       // KindSlowHeads sends heads byte by byte.
)

// Sizes and times of what the clients send.
const (
	headBytes      = 16_000  // headBytes is less than the 16,384 bytes that configurations allow.
	bodyBytes      = 1 << 20 // bodyBytes is less than the 64 MiB that configurations allow.
	missingBytes   = 100     // missingBytes is how much most bodies lack.
	pieceBytes     = 8 << 10
	pieceInterval  = 5 * time.Millisecond
	linesInPart    = 1000
	partsAtOnce    = 16
	partInterval   = 50 * time.Millisecond
	byteInterval   = 100 * time.Millisecond
	reopenInterval = 20 * time.Millisecond
	completeShare  = 8 // completeShare makes one in so many clients complete its request.
	pipelined      = 8 // pipelined is how many requests KindUnread sends at once.
)

// Crowd is a number of clients of one kind at one instance.
type Crowd struct {
	Kind    Kind
	Address string // Address is the instance's.
	Host    string // Host is the name that requests are for.
	Path    string // Path is the path of requests.
	Clients int
	Opens   int // Opens is how often each client connects at most.
}

// Run runs the clients until the context ends; their connections stay open until then, or
// until the instance closes them.
func (c Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := range c.Clients {
		clients.Go(func() { c.runClient(ctx, n) })
	}
}

func (c Crowd) runClient(ctx context.Context, n int) {
	for open := 0; open < c.Opens && ctx.Err() == nil; open++ {
		c.connect(ctx, n, open)
		pause(ctx, reopenInterval)
	}
}

// connect opens one connection and uses it until the instance closes it or ctx ends.
func (c Crowd) connect(ctx context.Context, n, open int) {
	dialed, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return
	}
	if tcp, ok := dialed.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Thousands of closed connections would otherwise keep their ports.
		if c.Kind == KindUnread {
			_ = tcp.SetReadBuffer(pieceBytes)
		}
	}
	defer func() { _ = dialed.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = dialed.Close() })
	defer stop()
	id := fmt.Sprintf("c-%d-%d", n, open)
	if c.Kind != KindUnread {
		go c.watch(dialed)
	}
	if c.send(ctx, dialed, id, n%completeShare == 0) == nil {
		awaitClosed(ctx, dialed)
	}
}

// watch closes the connection at the first byte of a response, and when the instance closes it.
// Clients that connect again at once make an instance hold many connections that it closes.
func (c Crowd) watch(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

// awaitClosed waits until the connection is closed or ctx ends.
func awaitClosed(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil && conn.SetWriteDeadline(time.Time{}) == nil {
		pause(ctx, reopenInterval)
	}
}

func (c Crowd) send(ctx context.Context, w io.Writer, id string, complete bool) error {
	switch c.Kind {
	case KindDistinctLines, KindEqualLines:
		return c.sendHead(w, id, complete)
	case KindEndlessHead:
		return repeat(ctx, w, c.start("GET", id), shortLines)
	case KindEndlessLine:
		return repeat(ctx, w, c.start("GET", id)+"a: ", func(int) []byte { return bytes.Repeat([]byte("a"), pieceBytes) })
	case KindEmptyLines:
		return repeat(ctx, w, c.start("GET", id)+"\r\n", func(int) []byte { return bytes.Repeat([]byte("\r\n"), pieceBytes) })
	case KindSizedBodies, KindSizedPieces, KindChunkedBodies, KindChunkedPieces:
		return c.sendBody(ctx, w, id, complete)
	case KindUnread:
		for n := range pipelined {
			if _, err := io.WriteString(w, c.start("GET", fmt.Sprintf("%s-%d", id, n))+"\r\n"); err != nil {
				return err
			}
		}
	case KindSlowHeads:
		return inPieces(ctx, w, []byte(c.start("GET", id)), 1, byteInterval)
	case KindIdle:
	}
	return nil
}

// start returns the beginning of a request's head.
func (c Crowd) start(method, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n", method, c.Path, c.Host, id)
}

// shortLine returns a header line that differs for each number below 26³.
func shortLine(n int) string {
	const letters = 26
	name := []byte{byte('a' + n%letters), byte('a' + n/letters%letters), byte('a' + n/letters/letters%letters)}
	return string(name) + ":\r\n"
}

// shortLines returns the n-th part of an endless sequence of short lines.
func shortLines(n int) []byte {
	var part []byte
	for line := range linesInPart {
		part = append(part, shortLine(n*linesInPart+line)...)
	}
	return part
}

// sendHead sends a head of legal size; its last line is missing unless it is complete.
func (c Crowd) sendHead(w io.Writer, id string, complete bool) error {
	head := bytes.NewBufferString(c.start("GET", id))
	for line := 0; head.Len() < headBytes; line++ {
		if c.Kind == KindEqualLines {
			line = 0
		}
		head.WriteString(shortLine(line))
	}
	if complete {
		head.WriteString("\r\n")
	}
	_, err := w.Write(head.Bytes())
	return err
}

// sendBody sends a request with a large body; its end is missing unless it is complete.
func (c Crowd) sendBody(ctx context.Context, w io.Writer, id string, complete bool) error {
	chunked := c.Kind == KindChunkedBodies || c.Kind == KindChunkedPieces
	sent := bodyBytes
	if !complete {
		sent -= missingBytes
	}
	request := bytes.NewBufferString(c.start("POST", id))
	if chunked {
		request.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for left := sent; left > 0; left -= pieceBytes {
			n := min(left, pieceBytes)
			fmt.Fprintf(request, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("b"), n))
		}
		if complete {
			request.WriteString("0\r\n\r\n")
		}
	} else {
		fmt.Fprintf(request, "Content-Length: %d\r\n\r\n", bodyBytes)
		request.Write(bytes.Repeat([]byte("b"), sent))
	}
	if c.Kind == KindSizedPieces || c.Kind == KindChunkedPieces {
		return inPieces(ctx, w, request.Bytes(), pieceBytes, pieceInterval)
	}
	_, err := w.Write(request.Bytes())
	return err
}

// repeat writes the beginning and then parts until a write fails. After the first ones it pauses
// between them: the machine would otherwise be busy with copying.
func repeat(ctx context.Context, w io.Writer, start string, part func(n int) []byte) error {
	if _, err := io.WriteString(w, start); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if _, err := w.Write(part(n)); err != nil {
			return err
		}
		if n >= partsAtOnce {
			pause(ctx, partInterval)
		}
	}
}

func inPieces(ctx context.Context, w io.Writer, text []byte, size int, interval time.Duration) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := w.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		pause(ctx, interval)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
