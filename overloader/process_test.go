package overloader_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
	"hemlocktally/overloader"
)

// processTestsEnv makes the tests of this package start processes. They measure the memory of a
// process and must not run beside other tests, so that `go test ./...` leaves them out.
const processTestsEnv = "HEMLOCKTALLY_OVERLOAD"

// The crowds and the bounds were fixed by runs on the code before clients were bounded; see the
// commit that added them. They are not changed with the product.
const (
	crowdClients    = 400
	crowdOpens      = 40
	crowdTime       = 3 * time.Second
	memoryMB        = 80
	descriptors     = 700
	fewDescriptors  = 400
	responseBytes   = 200 << 10
	slowTime        = 300 * time.Millisecond
	ordinaryTimeout = 60 * time.Second
)

// binary is the program under test, built once.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "overloader")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "hemlocktally")
	out, err := exec.Command("go", "build", "-o", path, "hemlocktally/cmd/hemlocktally").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if os.Getenv(processTestsEnv) != "" {
		if path, err := binary(); err == nil {
			_ = os.RemoveAll(filepath.Dir(path))
		}
	}
	os.Exit(code)
}

// ipCount counts the loopback addresses that this program has used.
var ipCount atomic.Int32

// uniqueIP returns a loopback address that no other test program uses.
func uniqueIP() string {
	const octetValues = 200
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%octetValues, 201+os.Getpid()/octetValues%50, ipCount.Add(1))
}

// target is a stand-in target that answers at once. Requests below /read/big get a large
// response; those below /read/slow take a while.
type target struct{ id string }

func (s target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", "0,0,256,100")
	switch {
	case strings.HasPrefix(r.URL.Path, "/read/slow"):
		time.Sleep(slowTime)
	case strings.HasPrefix(r.URL.Path, "/read/big"):
		_, _ = w.Write(bytes.Repeat([]byte("r"), responseBytes))
		return
	}
	_, _ = io.WriteString(w, "answer")
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", uniqueIP()+":0")
	qt.Assert(t, err, qt.IsNil)
	return l
}

// startTarget starts a stand-in target and registers it.
func startTarget(t *testing.T, directory *imitator.Directory, id string) {
	t.Helper()
	l := listen(t)
	server := &http.Server{Handler: target{id: id}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	entry, err := json.Marshal(map[string]any{
		"service": "s", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 256, "state": "ready",
		"coldRemaining": "0ms", "seq": 1, "born": time.Now().UnixMilli(),
	})
	qt.Assert(t, err, qt.IsNil)
	directory.Put("servers/"+id, string(entry))
}

// instance is a process of the program under test.
type instance struct {
	callers, ready string
	metrics        string
	command        *exec.Cmd
	ended          chan struct{}
	logs           string
}

// startInstance starts the store, two targets and one process, and waits until it is ready.
func startInstance(t *testing.T, memoryMB, descriptors int) *instance {
	t.Helper()
	if os.Getenv(processTestsEnv) == "" {
		t.Skip("runs alone, with " + processTestsEnv + "=1")
	}
	directory := &imitator.Directory{}
	store := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = directory.Serve(ctx, store) }()
	startTarget(t, directory, "t-1")
	startTarget(t, directory, "t-2")
	directory.Declare(imitator.Document(4, "s",
		imitator.Route{Name: "read", Prefix: "/read/", Repeatable: true, Timeout: "2000ms", Rank: 1, Attempts: 2},
		imitator.Route{Name: "pay", Prefix: "/pay/", Timeout: "2000ms", Attempts: 2}))
	ip := uniqueIP()
	i := &instance{callers: ip + ":8080", ready: ip + ":8081", metrics: ip + ":8083", ended: make(chan struct{})}
	i.start(t, fmt.Sprintf("[Instance]\nID = e\nZone = a\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nMetrics = %s\n[Platform]\nStore = %s\n[Machine]\nMemoryMB = %d\nDescriptors = %d\n",
		i.callers, i.ready, ip+":8082", i.metrics, store.Addr(), memoryMB, descriptors))
	return i
}

func (i *instance) start(t *testing.T, settings string) {
	t.Helper()
	path, err := binary()
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "balance.ini")
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	i.logs = file + ".log"
	logs, err := os.Create(i.logs)
	qt.Assert(t, err, qt.IsNil)
	i.command = exec.Command(path, "balance", "--settings", file)
	i.command.Stdout, i.command.Stderr = logs, logs
	qt.Assert(t, i.command.Start(), qt.IsNil)
	go func() {
		_ = i.command.Wait()
		_ = logs.Close()
		close(i.ended)
	}()
	t.Cleanup(func() {
		_ = i.command.Process.Kill()
		<-i.ended
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready + "/")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the process did not become ready in time")
		}
	}
}

// peakMemory returns the highest resident memory of the process so far, in bytes.
func (i *instance) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			qt.Assert(t, err, qt.IsNil)
			return kilobytes << 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// openDescriptors returns how many descriptors the process has open.
func (i *instance) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.command.Process.Pid))
	return len(entries)
}

// answersOrdinaryRequest reports whether the process answers an ordinary request. A refusal as
// not run is repeated, as ordinary clients do.
func (i *instance) answersOrdinaryRequest() bool {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(uniqueIP())}}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, "http://"+i.callers+"/read/x", http.NoBody)
		if err != nil {
			return false
		}
		imitator.SetCall(request, fmt.Sprint("ordinary-", time.Now().UnixNano()), 2000)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && string(body) == "answer" {
			return true
		}
	}
	return false
}

// overload runs a crowd at the process and returns the highest number of descriptors seen. If the
// crowd stays, its connections stay open until the ordinary request has been answered.
func (i *instance) overload(crowd overloader.Crowd, stays bool) (maxDescriptors int, answered bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { crowd.Run(ctx) })
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		maxDescriptors = max(maxDescriptors, i.openDescriptors())
	}
	if !stays {
		cancel()
		group.Wait()
	}
	answered = i.answersOrdinaryRequest()
	return max(maxDescriptors, i.openDescriptors()), answered
}

// Each kind of client once made a process need more memory or descriptors than its machine has,
// so that it ended.
func TestProcessOutlastsCrowds(t *testing.T) {
	for _, test := range []struct {
		kind        overloader.Kind
		path        string
		descriptors int
		stays       bool // stays is set for clients that need no processor time while they wait.
	}{
		{overloader.KindDistinctLines, "/read/x", descriptors, false},
		{overloader.KindEqualLines, "/read/x", descriptors, false},
		{overloader.KindEndlessHead, "/read/x", descriptors, false},
		{overloader.KindEndlessLine, "/read/x", descriptors, false},
		{overloader.KindEmptyLines, "/read/slow", descriptors, false},
		{overloader.KindSizedBodies, "/pay/x", descriptors, false},
		{overloader.KindSizedPieces, "/pay/x", descriptors, false},
		{overloader.KindChunkedBodies, "/pay/x", descriptors, false},
		{overloader.KindChunkedPieces, "/pay/x", descriptors, false},
		{overloader.KindUnread, "/read/big", descriptors, true},
		{overloader.KindIdle, "/read/x", fewDescriptors, true},
		{overloader.KindSlowHeads, "/read/x", fewDescriptors, true},
	} {
		t.Run(string(test.kind), func(t *testing.T) {
			c := qt.New(t)
			i := startInstance(t, memoryMB, test.descriptors)
			before := i.peakMemory(t)
			opened, answered := i.overload(overloader.Crowd{
				Kind: test.kind, Address: i.callers, Host: "h", Path: test.path, Clients: crowdClients, Opens: crowdOpens,
			}, test.stays)
			select {
			case <-i.ended:
				t.Fatal("the process has ended")
			default:
			}
			peak := i.peakMemory(t)
			t.Logf("peak memory %.1f MiB (%.1f before), %d descriptors, answered: %v", float64(peak)/(1<<20), float64(before)/(1<<20), opened, answered)
			c.Check(peak <= memoryMB<<20, qt.IsTrue, qt.Commentf("%.1f MiB used, %d MiB allowed", float64(peak)/(1<<20), memoryMB))
			c.Check(opened <= test.descriptors, qt.IsTrue, qt.Commentf("%d descriptors open, %d allowed", opened, test.descriptors))
			c.Check(answered, qt.IsTrue, qt.Commentf("the ordinary request got no answer"))
		})
	}
}

// Well-behaved callers of the smallest machine: many connections that were used once and are
// idle, and calls that wait for slow targets. The limits must refuse or close none of them.
func TestWellBehavedCallersAreNotRefused(t *testing.T) {
	const (
		connections    = 1500
		waiting        = 120
		smallMemoryMB  = 136
		allDescriptors = 2870
	)
	c := qt.New(t)
	i := startInstance(t, smallMemoryMB, allDescriptors)
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	callAll := func(path string, calls int) {
		var group sync.WaitGroup
		defer group.Wait()
		for n := range calls {
			group.Go(func() { i.call(client, path, fmt.Sprint(path, n)) })
		}
	}
	idle := make([]net.Conn, connections)
	for n := range idle {
		conn, err := net.Dial("tcp", i.callers)
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		idle[n] = conn
		_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: i-%d\r\nDeadline-Ms: 2000\r\n\r\n", n)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	callAll("/read/slow", waiting)
	callAll("/read/big", waiting)
	for _, conn := range idle {
		c.Assert(conn.SetReadDeadline(time.Now().Add(time.Millisecond)), qt.IsNil)
		_, err := conn.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded, qt.Commentf("an idle connection was closed"))
	}
	c.Check(i.refusals(t), qt.HasLen, 0)
	peak := i.peakMemory(t)
	t.Logf("peak memory %.1f MiB, %d descriptors", float64(peak)/(1<<20), i.openDescriptors())
	c.Check(peak <= smallMemoryMB<<20, qt.IsTrue)
}

// call makes an ordinary call. Whether a target answers in time is not checked: it depends on the
// machine's speed.
func (i *instance) call(client *http.Client, path, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.callers+path, http.NoBody)
	if err != nil {
		return
	}
	imitator.SetCall(request, id, 2000)
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// refusals returns the metrics of refused callers that are not zero.
func (i *instance) refusals(t *testing.T) []string {
	t.Helper()
	response, err := http.Get("http://" + i.metrics + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	var found []string
	known := 0
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.Contains(fields[0], "caller_refusals_") {
			known++
			if fields[1] != "0" {
				found = append(found, strings.TrimSpace(line))
			}
		}
	}
	qt.Assert(t, known > 0, qt.IsTrue)
	return found
}
