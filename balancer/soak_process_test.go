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

// settingsEnv is the environment variable with the path of the settings file. It is
// set in the processes that the soak starts: the test program itself, run again as
// one instance.
const settingsEnv = "HEMLOCKTALLY_SOAK_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsEnv); path != "" {
		os.Exit(runInstance(path))
	}
	os.Exit(m.Run())
}

// runInstance runs one instance in this process and returns its exit code.
func runInstance(path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // The real command validates the settings again on SIGHUP and continues to run.
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
		Address: settings.Platform.Store, HTTP: &http.Client{Transport: balancer.StoreTransport()},
	}}
	go func() {
		// The soak holds the other end of this pipe: when the soak ends, for whatever
		// reason, the instance exits too.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	if err := b.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// process is an instance that the soak runs in its own process.
type process struct {
	id, zone, settings string
	callers, ready     string
	store              *proxy
	mu                 sync.Mutex
	command            *exec.Cmd
	ended              chan struct{} // ended is closed when the process has exited.
	starts             int           // starts counts how often it was started.
	disturbedUntil     time.Time     // disturbedUntil is when faults stop excusing interrupted calls.
	isReady            atomic.Bool
	stopping           bool
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
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

// incarnation identifies the running process among the restarts of the instance.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.id, p.starts)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// disturb excuses interrupted calls of the instance for the span.
func (p *process) disturb(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(span); until.After(p.disturbedUntil) {
		p.disturbedUntil = until
	}
}

func (p *process) undisturbed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.After(p.disturbedUntil)
}
