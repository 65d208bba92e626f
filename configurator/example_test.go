package configurator_test

import (
	"context"
	"errors"
	"fmt"

	"hemlocktally"
	"hemlocktally/configurator"
)

// Two operators base a change on the same revision. The second one gets an error
// that names the change that was accepted first.
func ExampleConfigurator_Change() {
	c := &configurator.Configurator{Store: newStore(1)}
	put := hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &hemlocktally.Service{Name: "bog-log"}}
	accepted, err := c.Change(context.Background(), hemlocktally.Change{ID: "1", Author: "ann", Commands: []hemlocktally.Command{put}})
	fmt.Println(accepted.Revision, err)
	_, err = c.Change(context.Background(), hemlocktally.Change{ID: "2", Author: "bob", Commands: []hemlocktally.Command{put}})
	var race *hemlocktally.RevisionConflictError
	fmt.Println(errors.As(err, &race), race.Winner.Change.Author)
	// Output:
	// 1 <nil>
	// true ann
}
