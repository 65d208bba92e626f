// Command fleet runs three entry instances on loopback with stand-ins around
// them, makes one call through each instance and prints the answers:
//
//	go run ./examples/fleet
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"hemlocktally"
	"hemlocktally/experimenter"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, w io.Writer) error {
	deployment := experimenter.Association()
	deployment.Instances = 3
	fleet, err := experimenter.Start(ctx, deployment)
	if err != nil {
		return err
	}
	for _, daemon := range fleet.Daemons {
		if err := hold(ctx, w, daemon.Self()); err != nil {
			_ = fleet.Stop()
			return err
		}
	}
	return fleet.Stop()
}

// hold files one hold, which is non-idempotent work, through an instance.
func hold(ctx context.Context, w io.Writer, instance hemlocktally.Instance) error {
	url := "http://" + instance.CallerAddress + "/holds/7"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("one hold"))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: %s %s: %q\n", instance.ID, response.Status, response.Header.Get(hemlocktally.HeaderOutcome), body)
	return err
}
