package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"hemlocktally"
	"hemlocktally/interpreter"
	"hemlocktally/loader"
)

const fileFlag = "file"

func contractsCommand() *cli.Command {
	file := &cli.StringFlag{Name: fileFlag, Usage: "the contracts `FILE` in INI", Required: true}
	return &cli.Command{
		Name:        "contracts",
		Usage:       "check, compare, apply and export contracts files",
		Description: "A contracts file declares availability zones, services, targets, callers and contracts; see examples/contracts/.",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a file without asking the fleet",
				Description: "Example:\n  hemlocktally contracts check --file examples/contracts/agency.ini",
				Flags:       []cli.Flag{file}, Action: checkContracts,
			},
			{
				Name: "diff", Usage: "show what applying a file would change",
				Description: "Example:\n  hemlocktally contracts diff --file agency.ini --at 127.0.0.1:8082",
				Flags:       operatorFlags(file), Action: diffContracts,
			},
			{
				Name: "apply", Usage: "make the fleet's configuration equal to a file, in one change",
				Description: "Targets, zones and instances that operators took out stay out.\n" +
					"Example:\n  hemlocktally contracts apply --file agency.ini --base 12 --wait",
				Flags: operatorFlags(file,
					&cli.UintFlag{Name: "base", Usage: "the revision that you saw; the change is refused where another is in force"},
					&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"},
					&cli.BoolFlag{Name: "wait", Usage: "wait until it is in force everywhere"},
					&cli.StringFlag{Name: "because", Usage: "why, for the history"}),
				Action: applyContracts,
			},
			{
				Name: "export", Usage: "write the fleet's configuration as a file that would change nothing",
				Description: "Example:\n  hemlocktally contracts export --out agency.ini",
				Flags:       operatorFlags(&cli.StringFlag{Name: "out", Usage: "write to `FILE` in place of the terminal"}),
				Action:      exportContracts,
			},
		},
	}
}

func checkContracts(_ context.Context, c *cli.Command) error {
	d, err := loader.LoadDeclaration(c.String(fileFlag))
	if err != nil {
		return err
	}
	targets := 0
	for i := range d.Services {
		targets += len(d.Services[i].Targets)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: good: %d availability zones, %d services, %d targets, %d callers, %d contracts\n",
		c.String(fileFlag), len(d.Zones), len(d.Services), targets, len(d.Callers), len(d.Contracts))
	return err
}

// planned is a change that makes the fleet equal to a file.
type planned struct {
	client      *operatorClient
	change      hemlocktally.Change
	differences []interpreter.Difference
}

func planContracts(ctx context.Context, c *cli.Command) (planned, error) {
	d, err := loader.LoadDeclaration(c.String(fileFlag))
	if err != nil {
		return planned{}, err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return planned{}, err
	}
	config, err := presentConfiguration(ctx, client)
	if err != nil {
		return planned{}, err
	}
	p := planned{client: client, change: hemlocktally.Change{
		ID: ulid.Make().String(), Base: config.Revision, Because: c.String("because"), Commands: d.Commands(config),
	}}
	after, err := config.Apply(hemlocktally.AcceptedChange{Revision: config.Revision + 1, Change: p.change})
	if err != nil {
		return p, err
	}
	p.differences = interpreter.Differences(config, after)
	return p, nil
}

func presentConfiguration(ctx context.Context, client *operatorClient) (*hemlocktally.Configuration, error) {
	text, err := client.get(ctx, "/configuration")
	if err != nil {
		return nil, err
	}
	config := &hemlocktally.Configuration{}
	return config, json.Unmarshal(text, config)
}

func diffContracts(ctx context.Context, c *cli.Command) error {
	p, err := planContracts(ctx, c)
	if err != nil {
		return err
	}
	return p.show(c.Root().Writer)
}

func (p planned) show(w io.Writer) error {
	lines := []string{fmt.Sprintf("on revision %d, %d commands change %d fields", p.change.Base, len(p.change.Commands), len(p.differences))}
	for _, d := range p.differences {
		lines = append(lines, "  "+d.String())
	}
	return writeLines(w, lines)
}

func applyContracts(ctx context.Context, c *cli.Command) error {
	p, err := planContracts(ctx, c)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if len(p.change.Commands) == 0 {
		return writeLines(w, []string{fmt.Sprintf("revision %d is equal to the file; nothing was changed", p.change.Base)})
	}
	if base := c.Uint("base"); base != 0 {
		p.change.Base = hemlocktally.Revision(base)
	}
	var query []string
	if c.Bool("dry-run") {
		query = append(query, "DryRun")
	}
	if c.Bool("wait") {
		query = append(query, "Wait")
	}
	body, err := json.Marshal(p.change)
	if err != nil {
		return err
	}
	return p.client.follow(ctx, "/change?"+strings.Join(query, "&"), body, showSteps(w))
}

func exportContracts(ctx context.Context, c *cli.Command) error {
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	config, err := presentConfiguration(ctx, client)
	if err != nil {
		return err
	}
	d := loader.DeclarationOf(config)
	path := c.String("out")
	if path == "" {
		return d.Write(c.Root().Writer)
	}
	file, err := os.Create(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	if err := d.Write(file); err != nil {
		return err
	}
	return file.Close()
}
