package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

// TestCommandLinesOfThePagesExist holds every command line that a page shows
// against the program's commands and flags.
func TestCommandLinesOfThePagesExist(t *testing.T) {
	c := qt.New(t)
	var pages []string
	for _, pattern := range []string{"../../README.md", "../../docs/*.md", "../../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		pages = append(pages, found...)
	}
	lines := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, line := range strings.Split(string(text), "\n") {
			if !strings.HasPrefix(line, "    ") && !strings.HasPrefix(line, "$ ") {
				continue // The line is no code.
			}
			line = strings.TrimPrefix(strings.TrimPrefix(strings.TrimSpace(line), "$ "), "./")
			if command, ok := strings.CutPrefix(line, "hemlocktally "); ok {
				lines++
				checkLine(c, page, strings.Fields(command))
			}
		}
	}
	c.Check(lines > 10, qt.IsTrue)
}

func checkLine(c *qt.C, page string, words []string) {
	command := root()
	for len(words) > 0 {
		next := slices.IndexFunc(command.Commands, func(x *cli.Command) bool { return x.Name == words[0] })
		if next < 0 {
			break
		}
		command, words = command.Commands[next], words[1:]
	}
	if command.Name == "hemlocktally" && len(words) > 0 && !strings.HasPrefix(words[0], "-") {
		c.Errorf("%s: there is no command %v", page, words)
	}
	for _, word := range words {
		name, isFlag := strings.CutPrefix(word, "--")
		if !isFlag || name == "help" {
			continue
		}
		name, _, _ = strings.Cut(name, "=")
		known := slices.ContainsFunc(command.Flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), name) })
		c.Check(known, qt.IsTrue, qt.Commentf("%s: %s has no flag --%s", page, command.Name, name))
	}
}
