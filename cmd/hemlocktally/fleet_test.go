package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/experimenter"
)

// TestOperatorsDay runs the operators' commands against a real fleet of three.
func TestOperatorsDay(t *testing.T) {
	c := qt.New(t)
	deployment := experimenter.Association()
	deployment.Instances = 3
	fleet, err := experimenter.Start(context.Background(), deployment)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(fleet.Stop(), qt.IsNil) })
	t.Setenv(operatorEnv, experimenter.OperatorKey)
	t.Setenv("HEMLOCKTALLY_AT", fleet.Daemons[1].Self().OperatorAddress)
	file := filepath.Join(t.TempDir(), "fleet.ini")
	good := func(arguments ...string) string {
		output, _, err := run(arguments...)
		c.Assert(err, qt.IsNil, qt.Commentf("%v", arguments))
		return output
	}
	bad := func(want int, arguments ...string) string {
		_, code, err := run(arguments...)
		c.Assert(err, qt.IsNotNil)
		c.Check(code, qt.Equals, want, qt.Commentf("%v: %v", arguments, err))
		return err.Error()
	}

	good("contracts", "export", "--out", file)
	c.Check(good("contracts", "check", "--file", file), qt.Contains, "3 availability zones, 3 services, 32 targets, 1 callers, 4 contracts")
	c.Check(good("contracts", "diff", "--file", file), qt.Contains, "on revision 1, 0 commands change 0 fields")
	c.Check(good("contracts", "apply", "--file", file), qt.Contains, "nothing was changed")

	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(file, []byte(strings.Replace(string(text), "Deadline = 1s", "Deadline = 700ms", 1)), 0o600), qt.IsNil)
	c.Check(good("contracts", "apply", "--file", file, "--dry-run"), qt.Contains, "~ Contract CounterSearch: Deadline = 700ms, was 1s")
	c.Check(good("contracts", "apply", "--file", file, "--wait"), qt.Contains, "in force on all 3 instances")
	c.Check(good("ask", "show Contracts where Contract = CounterSearch"), qt.Contains, "700ms")

	c.Check(good("tell", `take out Target holds/holds-1 wait because "slow"`), qt.Contains, "accepted as revision 3")
	c.Check(good("contracts", "diff", "--file", file), qt.Contains, "0 commands")
	c.Check(good("ask", "explain Target holds-1"), qt.Contains, "operators")
	c.Check(good("ask", "show Revisions where Because = slow"), qt.Contains, "1 row, from 3 of 3 instances")
	c.Check(bad(exitRefused, "tell", "bring back Target holds/holds-1 base 1"), qt.Contains, "revision 3 by operator")
	c.Check(bad(exitRefused, "tell", "take out AvailabilityZone atlantis"), qt.Contains, "there is kingston-a, kingston-b, kingston-c")
	c.Check(bad(exitUsage, "tell", "show Calls"), qt.Contains, "use hemlocktally ask")
	c.Check(bad(exitUsage, "ask", "bring back Target holds-1"), qt.Contains, "use hemlocktally tell")
	good("tell", "bring back Target holds/holds-1 wait")

	dir := t.TempDir()
	c.Check(good("report", "--out", dir), qt.Contains, "report.md")
	t.Setenv(operatorEnv, "a-wrong-key-of-an-operator")
	c.Check(bad(exitFailed, "ask", "show Calls"), qt.Contains, "key is missing or wrong")
}
