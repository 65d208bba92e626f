package balancer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/balancer"
	"hemlocktally/logger"
	"hemlocktally/platform"
)

// settingsEnv names the settings of a process that the soak started: the test
// program itself, run again as one instance.
const settingsEnv = "HEMLOCKTALLY_SOAK_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsEnv); path != "" {
		os.Exit(runInstance(path))
	}
	os.Exit(m.Run())
}

// runInstance is one instance as a process of its own.
func runInstance(path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // The command checks the settings again; the instance goes on.
	settings, err := balancer.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	log, err := logger.New(os.Stdout, "JSON", "info")
	if err != nil {
		return 1
	}
	log.Instance = settings.Instance.ID
	b := &balancer.Balancer{Settings: settings, Platform: platform.Translator{}, Log: log, Directory: &platform.Store{
		Address: settings.Platform.Store, HTTP: &http.Client{Transport: balancer.Transport()},
	}}
	go func() {
		// The soak holds the other end: its end, however it comes, is the instance's.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	if err := b.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// process is one instance as the soak sees it.
type process struct {
	id, zone, settings string
	callers, ready     string
	store              *link
	mu                 sync.Mutex
	command            *exec.Cmd
	ended              chan struct{} // ended is closed when the process is gone.
	life               int           // life counts its starts.
	disturbed          time.Time     // disturbed is until when faults excuse cut calls.
	isReady            atomic.Bool
	stopping           bool
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life++
	p.stopping = false
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), settingsEnv+"="+p.settings)
	logs, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	p.command.Stdout, p.command.Stderr = logs, logs
	_, err = p.command.StdinPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.command.Start(), qt.IsNil)
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// disturb excuses what the instance does for a while.
func (p *process) disturb(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(span); until.After(p.disturbed) {
		p.disturbed = until
	}
}

func (p *process) calm(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.disturbed)
}
