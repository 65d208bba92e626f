// Command language parses statements of the operators' language and prints what
// they mean, or what is wrong with them:
//
//	go run ./examples/language "take out AvailabilityZone kingston-a wait"
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"hemlocktally/interpreter"
)

func main() {
	explain(os.Stdout, os.Args[1:])
}

func explain(w io.Writer, statements []string) {
	if len(statements) == 0 {
		statements = []string{"show Targets where State = Cold limit 3", "show Nothing"}
	}
	for _, text := range statements {
		statement, err := interpreter.Parse(text)
		var wrong *interpreter.SyntaxError
		if errors.As(err, &wrong) {
			_, _ = fmt.Fprintln(w, wrong)
			continue
		}
		_, _ = fmt.Fprintf(w, "%+v\n", statement)
	}
}
