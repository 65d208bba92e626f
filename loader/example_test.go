package loader_test

import (
	"fmt"
	"os"

	"hemlocktally"
	"hemlocktally/loader"
)

func ExampleDeclaration_Commands() {
	declaration, err := loader.LoadDeclaration("../examples/contracts/association.ini")
	commands := declaration.Commands(&hemlocktally.Configuration{})
	fmt.Println(err, len(commands), commands[0].Kind, commands[0].Service.Name)
	// Output: <nil> 8 PutService catalogue
}

func ExampleDeclaration_Write() {
	declaration := loader.Declaration{Contracts: []hemlocktally.Contract{{Name: "Holds", Service: "holds", NonIdempotent: true}}}
	_ = declaration.Write(os.Stdout)
	// Output:
	// [Contract Holds]
	// Service = holds
	// NonIdempotent = true
}
