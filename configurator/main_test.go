package configurator

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the number and the seed of the generated test cases, so that every
// run is the same; the flags -rapid.checks and -rapid.seed override them. It also
// fails the run if goroutines are left.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "200", "rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			println(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}
