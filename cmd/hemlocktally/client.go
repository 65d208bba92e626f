package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hemlocktally/commander"
)

const (
	atFlag        = "at"
	keyFileFlag   = "key-file"
	authorityFlag = "authority"
	operatorEnv   = "HEMLOCKTALLY_OPERATOR_KEY"
	defaultAt     = "127.0.0.1:8082"
)

// operatorFlags are the flags of the commands that speak to a fleet.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: atFlag, Usage: "the `IP:PORT` for operators of any instance", Value: defaultAt, Sources: cli.EnvVars("HEMLOCKTALLY_AT")},
		&cli.StringFlag{Name: keyFileFlag, Usage: "the `FILE` that holds your operator's key; in place of it, set " + operatorEnv},
		&cli.StringFlag{Name: authorityFlag, Usage: "the `FILE` of certificates to trust; turns on TLS"},
	}, more...)
}

// operatorClient speaks to the operators' port of one instance.
type operatorClient struct {
	base string
	key  string
	http *http.Client
}

func newOperatorClient(c *cli.Command) (*operatorClient, error) {
	at := c.String(atFlag)
	if _, err := netip.ParseAddrPort(at); err != nil {
		return nil, &usageError{fmt.Errorf("--at: found %q, allowed: an IP address with a port, such as %s", at, defaultAt)}
	}
	client := &operatorClient{base: "http://" + at, key: os.Getenv(operatorEnv), http: &http.Client{}}
	if path := c.String(keyFileFlag); path != "" {
		text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
		if err != nil {
			return nil, &usageError{fmt.Errorf("--key-file: %w", err)}
		}
		client.key = strings.TrimSpace(string(text))
	}
	if client.key == "" {
		return nil, &usageError{fmt.Errorf("no operator's key: set %s, or name a file by --key-file", operatorEnv)}
	}
	return client, client.trust(c.String(authorityFlag))
}

// trust turns on TLS with the certificates in the file.
func (o *operatorClient) trust(path string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return &usageError{fmt.Errorf("--authority: %w", err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return &usageError{fmt.Errorf("--authority: %s holds no certificate in PEM", path)}
	}
	o.base = strings.Replace(o.base, "http://", "https://", 1)
	o.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	return nil
}

const askTimeout = 10 * time.Second

// post sends a text and returns the answer's body, or a *commander.Fault.
func (o *operatorClient) post(ctx context.Context, path string, body []byte) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return o.send(request)
}

func (o *operatorClient) send(request *http.Request) (io.ReadCloser, error) {
	request.Header.Set("Authorization", "Bearer "+o.key)
	response, err := o.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("no answer from %s, name another instance by --at: %w", o.base, errors.Unwrap(err))
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return nil, err
	}
	fault := &commander.Fault{}
	if json.Unmarshal(text, fault) != nil || fault.Kind == "" {
		return nil, fmt.Errorf("%s answered %s: %s", o.base, response.Status, strings.TrimSpace(string(text)))
	}
	return nil, fault
}

// get reads a page of the operators' port.
func (o *operatorClient) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.base+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	body, err := o.send(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	return io.ReadAll(body)
}

// ask sends a question and decodes its answer.
func (o *operatorClient) ask(ctx context.Context, text string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := o.post(ctx, "/ask", []byte(text))
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return json.NewDecoder(body).Decode(answer)
}

// follow sends a command and shows each step. It returns a *commander.Fault of
// the kind Late where the change was accepted but not seen in force in time.
func (o *operatorClient) follow(ctx context.Context, path string, body []byte, show func(commander.StepMsg)) error {
	answer, err := o.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	lines := bufio.NewScanner(answer)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		var step commander.StepMsg
		if err := json.Unmarshal(lines.Bytes(), &step); err != nil {
			return err
		}
		if step.Kind == commander.StepFailed {
			return &commander.Fault{Kind: commander.FaultLate, Detail: step.Detail}
		}
		show(step)
	}
	return lines.Err()
}
