package reserver_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/reserver"
)

// A head costs far more than its bytes: each line has an entry in a map. The budget holds only if
// the costs that it counts with are not below the real ones.
func TestCosts(t *testing.T) {
	const heads = 50
	heap() // The first collections free what other tests left behind.
	for name, line := range map[string]func(int) string{
		"distinct": func(n int) string { return fmt.Sprintf("%c%c%c:\r\n", 'a'+n%26, 'a'+n/26%26, 'a'+n/676%26) },
		"equal":    func(int) string { return "aaa:\r\n" },
	} {
		// Maps grow by doubling, so that the cost of a line depends on their number.
		for _, lines := range []int{60, 250, 950, 1900, 3000} {
			c := qt.New(t)
			text := bytes.NewBufferString("GET / HTTP/1.1\r\nHost: h\r\n")
			for n := range lines {
				text.WriteString(line(n))
			}
			text.WriteString("\r\n")
			kept := make([]http.Header, 0, 2*heads)
			before := heap()
			for range heads {
				request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text.Bytes())))
				c.Assert(err, qt.IsNil)
				copied := make(http.Header, len(request.Header))
				for key, values := range request.Header {
					copied[key] = values
				}
				kept = append(kept, request.Header, copied)
			}
			cost := int64(heap()-before) / heads
			counted := int64(lines*reserver.LineCost + text.Len()*reserver.ByteCost)
			t.Logf("%s: a head of %d lines and %d bytes costs %d bytes, %d a line; %d are counted", name, lines, text.Len(), cost, cost/int64(lines), counted)
			c.Check(cost <= counted, qt.IsTrue)
			runtime.KeepAlive(kept)
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
