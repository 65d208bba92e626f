package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"hemlocktally"
	"hemlocktally/balancer"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list the requests that are held back because they crash their targets, or release one",
		Description: "Asks an instance of `balance` at the address of its metrics. A request that is released at one\n" +
			"instance is released at all.\n" +
			"Example:\n  hemlocktally quarantine --at 10.1.0.34:9464 --release 2e03763d32ce61dfa22118c2ad981251",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "at", Usage: "the `ADDRESS` of an instance's metrics", Required: true, Sources: cli.EnvVars("HEMLOCKTALLY_AT")},
			&cli.StringFlag{Name: "release", Usage: "release the request with this `FINGERPRINT`"},
			&cli.StringFlag{Name: "key", Usage: "the operators' `KEY`, to release a request", Sources: cli.EnvVars("HEMLOCKTALLY_OPERATOR_KEY")},
		},
		Action: quarantine,
	}
}

func quarantine(ctx context.Context, c *cli.Command) error {
	method, path := http.MethodGet, balancer.QuarantinePath
	if text := c.String("release"); text != "" {
		request, err := hemlocktally.ParseFingerprint(text)
		if err != nil {
			return &usageError{err}
		}
		method, path = http.MethodDelete, path+"/"+request.String()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.String("at")+path, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.String("key"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", c.String("at"), strings.TrimSpace(string(body)))
	}
	_, err = c.Root().Writer.Write(body)
	return err
}
