package interpreter

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The tree types below define the grammar in their parser tags; parser.go converts
// them to statements. Grammar prints the type names as names of productions.

type statementTree struct {
	Show      *showTree    `parser:"  @@"`
	Explain   *explainTree `parser:"| @@"`
	TakeOut   *takeTree    `parser:"| 'take' 'out' @@"`
	BringBack *takeTree    `parser:"| 'bring' 'back' @@"`
	Change    *changeTree  `parser:"| @@"`
}

type wordTree struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

type showTree struct {
	Topic   *wordTree        `parser:"'show' @@"`
	Where   []*conditionTree `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	OrderBy *wordTree        `parser:"( 'order' 'by' @@"`
	Descend bool             `parser:"  ( @'desc' | 'asc' )? )?"`
	Limit   *wordTree        `parser:"( 'limit' @@ )?"`
	Format  *formatTree      `parser:"( 'as' @@ )?"`
}

type formatTree struct {
	JSON  bool `parser:"  @'JSON'"`
	Table bool `parser:"| @'table'"`
}

type conditionTree struct {
	Column   *wordTree `parser:"@@"`
	Operator string    `parser:"@( Operator | 'contains' )"`
	Value    *wordTree `parser:"@@"`
}

type explainTree struct {
	Call   *wordTree   `parser:"'explain' ( 'Call' @@"`
	Target *wordTree   `parser:"          | 'Target' @@ )"`
	Format *formatTree `parser:"( 'as' @@ )?"`
}

type takeTree struct {
	Zone     *wordTree     `parser:"( 'AvailabilityZone' @@"`
	Instance *wordTree     `parser:"| 'Instance' @@"`
	Target   *wordTree     `parser:"| 'Target' @@ )"`
	Options  []*optionTree `parser:"@@*"`
}

type changeTree struct {
	Contract *wordTree      `parser:"'change' 'Contract' @@"`
	Settings []*settingTree `parser:"'set' @@ ( ',' @@ )*"`
	Options  []*optionTree  `parser:"@@*"`
}

type settingTree struct {
	Field *wordTree `parser:"@@"`
	Value *wordTree `parser:"'=' @@"`
}

type optionTree struct {
	DryRun  bool      `parser:"  @'dry' 'run'"`
	Base    *wordTree `parser:"| 'base' @@"`
	Wait    bool      `parser:"| @'wait'"`
	Because *wordTree `parser:"| 'because' @@"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[\pL\pN_./:%+-]+`},
	{Name: "Other", Pattern: `.`},
})

// grammar builds the parser on first use, because an instance that gets no queries
// or commands does not need it.
var grammar = sync.OnceValue(func() *participle.Parser[statementTree] {
	return participle.MustBuild[statementTree](
		participle.Lexer(tokens),
		participle.Elide("Space"),
		participle.Unquote("String"),
		participle.CaseInsensitive("Word"),
	)
})

// Grammar returns the grammar of the language in EBNF.
func Grammar() string { return grammar().String() }
