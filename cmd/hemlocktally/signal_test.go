package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
)

// commandEnv holds the command line of a process that a test started: the test
// program itself, run again as the command.
const commandEnv = "HEMLOCKTALLY_TEST_COMMAND"

func TestMain(m *testing.M) {
	if line := os.Getenv(commandEnv); line != "" {
		os.Args = append([]string{"hemlocktally"}, strings.Fields(line)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// A changed settings file is announced by SIGHUP, also to an instance that has
// just got SIGTERM. It still finishes its planned stop: ended by the signal, it
// would cut the calls in flight.
func TestHangupDuringAPlannedStop(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = (&imitator.Directory{}).Serve(ctx, store) }()
	// An IP of the test's own: a port that was free on a shared one may be taken.
	ip := fmt.Sprintf("127.%d.%d.77", 1+os.Getpid()%200, 1+os.Getpid()/200%200)
	callers := ip + ":8080"
	settings := filepath.Join(t.TempDir(), "balance.ini")
	text := "[Instance]\nID = e\nZone = a\n[Listen]\nCallers = " + callers + "\nReady = " + ip + ":8081\nPeers = " + ip + ":8082" +
		"\n[Platform]\nStore = " + store.Addr().String() + "\n[Bounds]\nStopTimeout = 3s\n"
	c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)

	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), commandEnv+"=balance --settings "+settings)
	var said bytes.Buffer
	command.Stdout, command.Stderr = &said, &said
	c.Assert(command.Start(), qt.IsNil)
	awaitListener(t, callers)
	time.Sleep(100 * time.Millisecond) // The process has to expect signals by now.
	c.Assert(command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for range 5 {
		time.Sleep(200 * time.Millisecond)
		c.Assert(command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	}
	c.Check(command.Wait(), qt.IsNil, qt.Commentf("%s", &said))
}

func awaitListener(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			qt.Assert(t, conn.Close(), qt.IsNil)
			return
		}
		if time.Now().After(end) {
			t.Fatalf("nothing listens at %s", address)
		}
	}
}
