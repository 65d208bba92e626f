package dispatcher_test

import (
	"fmt"

	"hemlocktally"
	"hemlocktally/dispatcher"
)

// A non-idempotent call is retried on another target if the first one states
// that it did not run the call. It is not retried if the response is lost.
func ExamplePlan() {
	plan := dispatcher.Plan{NonIdempotent: true, MaxAttempts: 3}
	failure := &hemlocktally.RefusedError{Reason: hemlocktally.ReasonTargetFailed, Detail: "target a"}
	for _, msg := range []any{
		dispatcher.StartMsg{},
		dispatcher.GrantedMsg{Attempt: 1, Target: "a"},
		dispatcher.FailedMsg{Attempt: 1, Error: failure, Sent: true, DeclaredNotRun: true},
		dispatcher.GrantedMsg{Attempt: 2, Target: "b"},
		dispatcher.FailedMsg{Attempt: 2, Error: failure, Sent: true},
	} {
		for _, command := range plan.Update(msg) {
			switch command := command.(type) {
			case dispatcher.StartAttemptCmd:
				fmt.Println("attempt", command.Attempt, "not on", command.Exclude)
			case dispatcher.RefuseCmd:
				fmt.Println("given up:", command.Error.Outcome)
			}
		}
	}
	// Output:
	// attempt 1 not on []
	// attempt 2 not on [a]
	// given up: Unknown
}
