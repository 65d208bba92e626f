package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"hemlocktally/examples"
)

// run runs one command line and returns its output, its exit code and its error.
func run(arguments ...string) (output string, code int, err error) {
	program := root()
	reportUsage(program)
	var b bytes.Buffer
	program.Writer, program.ErrWriter = &b, &b
	err = program.Run(context.Background(), append([]string{"hemlocktally"}, arguments...))
	if err != nil {
		code = exitCode(err)
	}
	return b.String(), code, err
}

func TestWrongCommandLinesSayWhatIsAllowed(t *testing.T) {
	t.Setenv(operatorEnv, "")
	for line, want := range map[string]string{
		"asq":                               `found "asq", expected one of serve, `,
		"settings chekc":                    `found "chekc", expected one of check, sample`,
		"settings check":                    `expected one FILE; see hemlocktally settings check --help`,
		"serve --bogus":                     "not defined: -bogus; see hemlocktally serve --help",
		"demo --for soon":                   `invalid value "soon"`,
		"ask":                               "needs a statement in quotes",
		"ask show Nonsense":                 "column 6: found \"Nonsense\"",
		"ask take out Instance entry-1":     "no operator's key",
		"tell take out":                     "found the end, expected AvailabilityZone, Instance, Target",
		"ask --at localhost:80 show Calls":  `found "localhost:80", allowed: an IP address with a port`,
		"ask --key-file /nope show Calls":   "--key-file: open /nope",
		"contracts apply":                   `Required flag "file" not set`,
		"report --bench /nope":              "--bench: open /nope",
		"playground --instances 0":          "found 0, allowed: 1 to 64",
		"playground --deployment harbour":   "allowed: agency, association",
		"callers --to 127.0.0.1:1 --rate 0": "found 0, allowed: 1 to 20000",
		"slopes --runs 0":                   "found 0, allowed: 1 or more",
	} {
		t.Run(line, func(t *testing.T) {
			c := qt.New(t)
			_, code, err := run(strings.Fields(line)...)
			c.Assert(err, qt.IsNotNil)
			c.Check(err.Error(), qt.Contains, want)
			c.Check(code, qt.Equals, exitUsage)
		})
	}
}

func TestSampleIsGoodAndEveryBadKeyIsNamed(t *testing.T) {
	c := qt.New(t)
	sample, _, err := run("settings", "sample")
	c.Assert(err, qt.IsNil)
	c.Check(sample, qt.Equals, examples.Settings())
	path := filepath.Join(t.TempDir(), "entry.ini")
	c.Assert(os.WriteFile(path, []byte(sample), 0o600), qt.IsNil)
	output, _, err := run("settings", "check", "--settings", path)
	c.Assert(err, qt.IsNil)
	c.Check(output, qt.Contains, "all keys are good")
	bad := strings.NewReplacer("Level = info", "Colour = info", "127.0.0.1:8081", "localhost:8081", "Peer = change-this-peer-key", "Peer = short").Replace(sample)
	c.Assert(os.WriteFile(path, []byte(bad), 0o600), qt.IsNil)
	_, code, err := run("settings", "check", "--settings", path)
	c.Check(code, qt.Equals, exitSettings)
	for _, want := range []string{"[Log] Colour", "[Listen] Peers", "[Keys] Peer"} {
		c.Check(err.Error(), qt.Contains, want)
	}
	c.Check(err.Error(), qt.Not(qt.Contains), `"short"`)
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	var visit func(command *cli.Command, path string)
	visit = func(command *cli.Command, path string) {
		for _, sub := range command.Commands {
			name := path + " " + sub.Name
			c := qt.New(t)
			c.Check(sub.Usage, qt.Not(qt.Equals), "", qt.Commentf("%s", name))
			if len(sub.Commands) == 0 && len(sub.Flags) > 0 {
				c.Check(sub.Description, qt.Contains, "hemlocktally"+strings.TrimPrefix(name, "hemlocktally"), qt.Commentf("%s", name))
			}
			visit(sub, name)
		}
	}
	visit(root(), "hemlocktally")
}
