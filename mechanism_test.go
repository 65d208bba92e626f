package hemlocktally_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func ExampleParseMechanisms() {
	off, err := hemlocktally.ParseMechanisms("Width, LinkPrice")
	fmt.Println(off.Has(hemlocktally.MechanismWidth), off.Has(hemlocktally.MechanismOwners), err)
	// Output: true false <nil>
}

func TestUnknownMechanism(t *testing.T) {
	c := qt.New(t)
	_, err := hemlocktally.ParseMechanisms("Width,Luck")
	var unknown *hemlocktally.UnknownMechanismError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Check(unknown.Name, qt.Equals, "Luck")
	var none hemlocktally.Mechanisms
	c.Check(none.Has(hemlocktally.MechanismWidth), qt.IsFalse)
}
