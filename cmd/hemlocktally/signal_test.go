package main

import (
	"context"
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

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, l.Close(), qt.IsNil) }()
	return l.Addr().String()
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
	callers := freeAddress(t)
	settings := filepath.Join(t.TempDir(), "balance.ini")
	text := "[Instance]\nID = e\nZone = a\n[Listen]\nCallers = " + callers + "\nReady = " + freeAddress(t) + "\nPeers = " + freeAddress(t) +
		"\n[Platform]\nStore = " + store.Addr().String() + "\n[Bounds]\nStopTimeout = 3s\n"
	c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)

	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), commandEnv+"=balance --settings "+settings)
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
	c.Check(command.Wait(), qt.IsNil)
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
