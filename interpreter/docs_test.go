package interpreter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// operatorDocs is the directory of the operators' pages, which the tests compare
// with the language.
const operatorDocs = "../docs/operators/"

// fencedBlocks returns the lines of each fenced code block that is tagged with the
// kind.
func fencedBlocks(page, kind string) [][]string {
	var found [][]string
	for _, part := range strings.Split(page, "```"+kind+"\n")[1:] {
		body, _, _ := strings.Cut(part, "\n```")
		found = append(found, strings.Split(body, "\n"))
	}
	return found
}

func TestExamplesInTheDocsParse(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob(operatorDocs + "*.md")
	c.Assert(err, qt.IsNil)
	examples := 0
	for _, file := range files {
		page, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		for _, kind := range []string{"ask", "tell"} {
			for _, lines := range fencedBlocks(string(page), kind) {
				for _, line := range lines {
					statement, err := interpreter.Parse(line)
					c.Check(err, qt.IsNil, qt.Commentf("%s", file))
					_, isCommand := statement.(interpreter.Command)
					c.Check(isCommand, qt.Equals, kind == "tell", qt.Commentf("%s: %s", file, line))
					examples++
				}
			}
		}
	}
	c.Check(examples > 20, qt.IsTrue)
}

func TestDocumentedErrorsMatchTheParser(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(operatorDocs + "language.md")
	c.Assert(err, qt.IsNil)
	found := fencedBlocks(string(page), "error")
	c.Assert(found, qt.HasLen, 2)
	for _, lines := range found {
		_, err := interpreter.Parse(lines[0])
		c.Check(err.Error(), qt.Equals, strings.Join(lines[1:], "\n"))
	}
}

func TestDocsListEveryTopicAndField(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(operatorDocs + "language.md")
	c.Assert(err, qt.IsNil)
	for _, schema := range interpreter.Schemas() {
		c.Check(string(page), qt.Contains, "\n| "+string(schema.Topic)+" |")
	}
	_, err = interpreter.Parse("change Contract X set Nonsense = 1")
	var syntax *interpreter.SyntaxError
	c.Assert(err, qt.ErrorAs, &syntax)
	for _, field := range syntax.Expected {
		c.Check(string(page), qt.Contains, "`"+field+"`")
	}
}

func TestEveryReasonIsDocumented(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../outcome.go")
	c.Assert(err, qt.IsNil)
	page, err := os.ReadFile(operatorDocs + "refusals.md")
	c.Assert(err, qt.IsNil)
	reasons := 0
	for _, line := range strings.Split(string(source), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[1] != "Reason" || fields[2] != "=" {
			continue
		}
		reasons++
		c.Check(string(page), qt.Contains, "\n| `"+strings.Trim(fields[3], `"`)+"` |")
	}
	c.Check(reasons > 15, qt.IsTrue)
	c.Check(string(page), qt.Contains, "`"+string(hemlocktally.OutcomeUnknown)+"`")
}

func TestTranscriptColumnsMatchTheSchemas(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(operatorDocs + "transcript.md")
	c.Assert(err, qt.IsNil)
	tables := 0
	for _, lines := range fencedBlocks(string(page), "text") {
		question, isAsk := strings.CutPrefix(lines[0], "$ hemlocktally ask '")
		if !isAsk || len(lines) < 2 || strings.HasPrefix(lines[1], "column ") || strings.HasPrefix(lines[1], "hemlocktally:") {
			continue
		}
		statement, err := interpreter.Parse(strings.TrimSuffix(question, "'"))
		c.Assert(err, qt.IsNil)
		if query, ok := statement.(interpreter.Query); ok {
			schema, _ := interpreter.SchemaOf(string(query.Topic))
			c.Check(strings.Fields(lines[1]), qt.DeepEquals, schema.ColumnNames())
			c.Check(lines[len(lines)-1], qt.Matches, `[0-9]+ rows?, from [0-9]+ of [0-9]+ instances`)
			tables++
		}
	}
	c.Check(tables > 5, qt.IsTrue)
}
