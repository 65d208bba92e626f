package registrar

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain makes the property tests short and deterministic. The flags
// -rapid.checks and -rapid.seed override this for longer runs. It also fails on
// leaked goroutines.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "20", "rapid.seed": "7", "rapid.nofailfile": "true"} {
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
