package loader_test

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/loader"
)

func load(c *qt.C, path string) loader.Declaration {
	d, err := loader.LoadDeclaration(path)
	c.Assert(err, qt.IsNil)
	return d
}

// apply returns the configuration that results from the declaration's commands.
func apply(c *qt.C, config *hemlocktally.Configuration, d loader.Declaration) *hemlocktally.Configuration {
	after, err := config.Apply(hemlocktally.AcceptedChange{
		Revision: config.Revision + 1, Change: hemlocktally.Change{Commands: d.Commands(config)},
	})
	c.Assert(err, qt.IsNil)
	return after
}

func TestExamplesSurviveExportAndReload(t *testing.T) {
	for _, name := range []string{"agency", "association"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := load(c, "../examples/contracts/"+name+".ini")
			config := apply(c, &hemlocktally.Configuration{}, d)
			c.Check(d.Commands(config), qt.HasLen, 0)
			var exported bytes.Buffer
			c.Assert(loader.DeclarationOf(config).Write(&exported), qt.IsNil)
			reloaded := load(c, writeFile(c, exported.String()))
			c.Check(reloaded, qt.DeepEquals, d)
		})
	}
}

// The demo runs the example files, so they have to agree with the deployments of
// the experimenter. The sizes are those of both deployments today.
func TestExamplesMatchTheDeployments(t *testing.T) {
	type size struct {
		service              hemlocktally.ServiceName
		targets, connections int
		nonIdempotent        bool
	}
	for _, test := range []struct {
		deployment experimenter.Deployment
		sizes      []size
	}{
		{experimenter.Agency(), []size{{"bog-log", 15, 220, false}, {"easements", 7, 220, true}, {"payments", 6, 220, true}}},
		{experimenter.Association(), []size{{"catalogue", 16, 240, false}, {"holds", 10, 240, true}, {"deposits", 6, 240, true}}},
	} {
		t.Run(test.deployment.Name, func(t *testing.T) {
			c := qt.New(t)
			d := load(c, "../examples/contracts/"+test.deployment.Name+".ini")
			c.Check(d.Contracts, qt.DeepEquals, test.deployment.Contracts)
			c.Check(d.Callers, qt.DeepEquals, test.deployment.Callers)
			c.Check(d.Zones, qt.HasLen, 3)
			c.Assert(d.Services, qt.HasLen, len(test.sizes))
			c.Assert(test.deployment.Services, qt.HasLen, len(test.sizes))
			for i, want := range test.sizes {
				s := d.Services[i]
				c.Check(s.Name, qt.Equals, want.service)
				c.Check(s.Targets, qt.HasLen, want.targets)
				c.Check(test.deployment.Services[i].Targets, qt.Equals, want.targets)
				for _, target := range s.Targets {
					c.Check(target.Slots, qt.Equals, 2)
					c.Check(target.MaxConnections, qt.Equals, want.connections)
				}
			}
			for _, contract := range d.Contracts {
				i := slices.IndexFunc(test.sizes, func(s size) bool { return s.service == contract.Service })
				c.Check(contract.NonIdempotent, qt.Equals, test.sizes[i].nonIdempotent)
				c.Check(contract.NonIdempotent && contract.Hedge, qt.IsFalse)
			}
		})
	}
}

func TestCommandsKeepTargetsOutAndContractOrder(t *testing.T) {
	c := qt.New(t)
	d := load(c, "../examples/contracts/association.ini")
	config := apply(c, &hemlocktally.Configuration{}, d)
	config, err := config.Apply(hemlocktally.AcceptedChange{Revision: 2, Change: hemlocktally.Change{Commands: []hemlocktally.Command{
		{Kind: hemlocktally.CommandTargetOut, Name: "holds", Target: "holds-1"},
		{Kind: hemlocktally.CommandZoneOut, Name: "kingston-a"},
	}}})
	c.Assert(err, qt.IsNil)
	d.Contracts[0], d.Contracts[1] = d.Contracts[1], d.Contracts[0]
	d.Contracts[3].Deadline = 300 * time.Millisecond
	d.Contracts = append(d.Contracts[:2], d.Contracts[3])
	d.Services[1].ProbesPerSecond = 9
	after := apply(c, config, d)
	c.Check(after.Contracts, qt.DeepEquals, d.Contracts)
	holds, _ := after.Service("holds")
	c.Check(holds.Targets[0].Out, qt.IsTrue)
	c.Check(holds.ProbesPerSecond, qt.Equals, 9.0)
	c.Check(after.ZoneOut("kingston-a"), qt.IsTrue)
	c.Check(d.Commands(after), qt.HasLen, 0)
}

func TestLoadDeclarationReportsEveryInvalidKey(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../examples/contracts/association.ini")
	c.Assert(err, qt.IsNil)
	invalid := strings.NewReplacer(
		"Address = 127.0.0.1:9201", "Address = catalogue.local:80",
		"Methods = GET", "Method = GET",
		"Deadline = 2s", "Deadline = soon",
		"KeySHA256 = ", "KeySHA256 = x",
		"AvailabilityZone = kingston-b", "AvailabilityZone = kingston-x",
		"[Contract Deposits]", "[Contrakt Deposits]",
	).Replace(string(text))
	_, err = loader.LoadDeclaration(writeFile(c, invalid))
	for _, want := range []string{
		`[Target catalogue/catalogue-1] Address: found "catalogue.local:80"`,
		`[Contract CounterSearch] Method: found "Method", allowed: a key of Service, Host,`,
		`[Contract Holds] Deadline: found "soon", allowed: a duration such as 250ms`,
		`[Caller counter] KeySHA256`,
		`AvailabilityZone: found "kingston-x", allowed: a declared zone: kingston-a, kingston-b, kingston-c`,
		`[Contrakt Deposits]: found "Contrakt Deposits"`,
	} {
		c.Check(err, qt.ErrorMatches, "(?s).*"+quoteMeta(want)+".*")
	}
}

func quoteMeta(text string) string {
	return strings.NewReplacer("[", `\[`, "]", `\]`, ".", `\.`).Replace(text)
}
