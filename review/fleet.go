package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is one entry instance: a process of the project's own program.
type instance struct {
	id, zone               string
	front, ready, settings string
	peers                  string
	inRotation             atomic.Bool
	lastRefused            atomic.Int64
	refused                atomic.Bool // refused says that the store turns the instance away.
	record                 *record
	program, folder        string
	mu                     sync.Mutex
	command                *exec.Cmd
	ended                  chan struct{}
}

// template is the part of deploy/balance.ini that is filled in, with the figures of a small
// deployment.
const template = `[Instance]
ID = %s
Zone = %s
Weight = 0.32

[Listen]
Callers = %s
Ready = %s
Peers = %s
Metrics = %s

[Platform]
Store = %s

[Bounds]
StopTimeout = 6s
RetryRatio = 0.2
RetryWindow = 10s
RetrySlack = 60
ProbesPerSecond = 60

[Policy]
Off =

[Log]
Format = JSON
Level = info
`

// fleet is a small deployment: the store, the instances and the platform's polling.
type fleet struct {
	store     *store
	record    *record
	instances []*instance
	upstreams []*upstream
	program   string
	folder    string
	ctx       context.Context
	cancel    context.CancelFunc
}

// running is the fleet of the case, which is ended if the case takes too long.
var running *fleet

func stopAll() {
	if running != nil {
		running.stop()
	}
}

var errNoPorts = errors.New("no free ports")

var errNotReady = errors.New("the instances were not ready in time")

// newFleet prepares perZone instances in each zone.
func newFleet(program, folder string, zones []string, perZone int, r *record) (*fleet, error) {
	f := &fleet{store: newStore(), record: r, program: program, folder: folder}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, zone := range zones {
		if err := f.add(zone, 1, perZone); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// add prepares the instances of a zone with the numbers from first to last.
func (f *fleet) add(zone string, first, last int) error {
	for n := first; n <= last; n++ {
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		i := &instance{
			id: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, front: ports[0], ready: ports[1], peers: ports[2],
			program: f.program, record: f.record, folder: f.folder,
		}
		address, err := f.store.serve(&i.refused)
		if err != nil {
			return err
		}
		i.settings = filepath.Join(f.folder, i.id+".ini")
		text := fmt.Sprintf(template, i.id, zone, ports[0], ports[1], ports[2], ports[3], address)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.instances = append(f.instances, i)
		go i.poll(f.ctx)
	}
	return nil
}

// nextPort is where the search for free ports goes on. The ports lie below those that the
// kernel hands out, so that nothing else takes them before the instance listens.
var nextPort = 11000 + os.Getpid()%15000

func freePorts(n int) ([]string, error) {
	var addresses []string
	for ; len(addresses) < n; nextPort++ {
		if nextPort > 32000 {
			return nil, errNoPorts
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// startAll starts all instances and waits until all are ready.
func (f *fleet) startAll() error {
	for _, i := range f.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, i := range f.instances {
			ready = ready && i.inRotation.Load()
		}
		if ready {
			return nil
		}
	}
	return errNotReady
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	f.cancel()
	for _, i := range f.instances {
		i.kill()
	}
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command = exec.Command(i.program, "balance")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.folder, "HEMLOCKTALLY_BOOT=" + i.settings}
	log, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return err
	}
	command, ended := i.command, make(chan struct{})
	i.ended = ended
	i.record.add("instance %s starts, process %d", i.id, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		i.record.add("instance %s has ended: %v", i.id, err)
		close(ended)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.record.add("instance %s gets %v", i.id, s)
	_ = i.command.Process.Signal(s)
}

// kill ends the process and waits until it has ended.
func (i *instance) kill() {
	i.mu.Lock()
	command, ended := i.command, i.ended
	i.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// poll asks for the instance's readiness once a second, as the platform does. Two misses
// take it out of rotation.
func (i *instance) poll(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	misses := 2
	for ctx.Err() == nil {
		response, err := client.Get("http://" + i.ready + "/readiness")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		i.inRotation.Store(misses < 2)
		time.Sleep(time.Second)
	}
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout, aim                      time.Duration
	attempts                          int
}

// configure writes the operator's configuration.
func (f *fleet) configure(version int, routes []route, services []string, coldStart time.Duration, coldPerSecond float64) {
	var resources []map[string]any
	for _, r := range routes {
		resources = append(resources, map[string]any{"resourceType": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"hostname": r.host, "prefix": r.prefix, "routeType": r.kind, "timeout": ms(r.timeout), "targetLatency": ms(r.aim),
			"priority": 1, "service": r.service, "maxAttempts": r.attempts,
		}})
	}
	for _, name := range services {
		resources = append(resources, map[string]any{"resourceType": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false, "coldStart": ms(coldStart), "coldPerS": coldPerSecond,
		}})
	}
	resources = append(resources, map[string]any{"resourceType": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}})
	document, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "baseVersion": "r1", "resources": resources})
	f.store.put("op/config", document)
	f.record.add("the operator's configuration r%d is acknowledged", version)
}

func ms(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// hubs returns the instances that hold a key of a zone's hub, by the store.
func (f *fleet) hubs() []*instance {
	var found []*instance
	for _, i := range f.instances {
		value := f.store.get("hemlocktally/hubs/" + i.zone)
		if strings.Contains(string(value), `"`+i.id+`"`) {
			found = append(found, i)
		}
	}
	return found
}

// refuse lets the store turn the instance away, or serve it again.
func (i *instance) refuse(refused bool) {
	if refused {
		i.lastRefused.Store(time.Now().UnixNano())
	}
	i.refused.Store(refused)
}

// refusedAt is when the store last began to turn the instance away.
func (i *instance) refusedAt() time.Time { return time.Unix(0, i.lastRefused.Load()) }
