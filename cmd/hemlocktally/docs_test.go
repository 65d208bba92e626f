package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const repository = "../.."

func readPage(c *qt.C, path string) string {
	text, err := os.ReadFile(filepath.Join(repository, path))
	c.Assert(err, qt.IsNil)
	return string(text)
}

func TestReadmeTestCommandIsWhatCIRuns(t *testing.T) {
	c := qt.New(t)
	command := regexp.MustCompile(`(?m)^ +(go test .*)$`).FindStringSubmatch(readPage(c, "README.md"))
	c.Assert(command, qt.HasLen, 2)
	c.Check(strings.Split(readPage(c, ".ci/run"), "\n"), qt.Contains, command[1])
}

func TestLinksOfThePagesExist(t *testing.T) {
	c := qt.New(t)
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(repository, pattern))
		c.Assert(err, qt.IsNil)
		pages = append(pages, found...)
	}
	c.Assert(len(pages) > 3, qt.IsTrue)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			c.Check(err, qt.IsNil, qt.Commentf("%s links to %s", page, m[1]))
		}
	}
}
