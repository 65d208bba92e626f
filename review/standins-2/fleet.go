package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// instance is one entry instance, a process of its own.
type instance struct {
	name, zone, ip string
	callers, ready string
	settings       string
	command        *exec.Cmd
	done           chan struct{}
	output         *os.File
}

// fleet is the entry instances of a small deployment.
type fleet struct {
	root, work string
	network    string // network is the first three bytes of the instances' addresses.
	instances  []*instance
}

// metricsPort is the port of metrics in the settings template, the same at all instances.
const metricsPort = "9464"

// pickNetwork picks a loopback network on which the port of metrics is free, so that cases may
// run at the same time.
func (f *fleet) pickNetwork() error {
	const first, count = 20, 200
	for n := range count {
		f.network = fmt.Sprintf("127.%d.7.", first+(os.Getpid()+n)%count)
		if listener, err := net.Listen("tcp", f.network+"1:"+metricsPort); err == nil {
			return listener.Close()
		}
	}
	return errors.New("no loopback network is free")
}

// freePort returns a port that is free at the address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// placeholder matches a field of the settings template.
var placeholder = regexp.MustCompile(`\{\{[A-Za-z0-9.]+\}\}`)

// fill fills in the settings template of the deploy file. A field that the platform of these cases
// lacks is filled in as an empty string, as the deploy format says.
func fill(template string, values map[string]string) (string, error) {
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	template = placeholder.ReplaceAllString(template, "")
	if at := strings.Index(template, "{{"); at >= 0 {
		return "", fmt.Errorf("the settings template has a field that can't be read: %.40s", template[at:])
	}
	return template, nil
}

// start starts one instance with its own address of the store.
func (f *fleet) start(name, zone, storeAddress string) error {
	number := len(f.instances) + 1
	i := &instance{name: name, zone: zone, ip: f.network + strconv.Itoa(number)}
	var ports [3]int
	for n := range ports {
		port, err := freePort(i.ip)
		if err != nil {
			return err
		}
		ports[n] = port
	}
	i.callers = net.JoinHostPort(i.ip, strconv.Itoa(ports[0]))
	i.ready = net.JoinHostPort(i.ip, strconv.Itoa(ports[1]))
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "balance.ini"))
	if err != nil {
		return err
	}
	settings, err := fill(string(template), map[string]string{
		"nodeName": name, "zone": zone, "limits.cpuShare": "0.32", "listen.front": i.callers, "listen.ready": i.ready, "ip": i.ip,
		"internalPorts.0": strconv.Itoa(ports[2]), "platform.address": storeAddress, "bounds.grace": "6s",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindow": "10s", "bounds.budgetSlack": "60", "bounds.probesPerS": "60",
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.work, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	i.settings = path
	if i.output, err = os.Create(filepath.Join(f.work, name+".log")); err != nil {
		return err
	}
	if err := f.run(i); err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return nil
}

// run starts the process of an instance, as the deploy file says.
func (f *fleet) run(i *instance) error {
	command := exec.Command(filepath.Join(f.root, "target", "hemlocktally"), "balance")
	command.Dir, command.Stdout, command.Stderr = f.root, i.output, i.output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.work, "HEMLOCKTALLY_BOOT=" + i.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(done)
	}()
	i.command, i.done = command, done
	return nil
}

// killAndRestart kills the process of an instance and starts it again after a delay.
func (f *fleet) killAndRestart(i *instance, delay time.Duration) error {
	if err := i.command.Process.Kill(); err != nil {
		return err
	}
	<-i.done
	time.Sleep(delay)
	return f.run(i)
}

// awaitReady waits until all instances say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, i := range f.instances {
		for {
			response, err := http.Get("http://" + i.ready + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-i.done:
				return fmt.Errorf("instance %s ended", i.name)
			case <-ctx.Done():
				return fmt.Errorf("instance %s is not ready", i.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// running returns an error if an instance has ended by itself.
func (f *fleet) running() error {
	for _, i := range f.instances {
		select {
		case <-i.done:
			return fmt.Errorf("instance %s ended by itself", i.name)
		default:
		}
	}
	return nil
}

// stop ends all instances.
func (f *fleet) stop() {
	for _, i := range f.instances {
		_ = i.command.Process.Kill()
	}
	for _, i := range f.instances {
		<-i.done
		_ = i.output.Close()
	}
}

// lines returns the log lines of an instance that contain a text.
func (f *fleet) lines(i *instance, text string) []string {
	content, err := os.ReadFile(filepath.Join(f.work, i.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range bytes.Lines(content) {
		if bytes.Contains(line, []byte(text)) {
			found = append(found, strings.TrimSpace(string(line)))
		}
	}
	return found
}
