// Package examples holds the sample settings and the contracts files of both
// example deployments, for the program to print and to run.
package examples

import "embed"

// Files holds settings/ and contracts/.
//
//go:embed settings/*.ini contracts/*.ini
var Files embed.FS

// Settings returns the documented sample of an instance's settings.
func Settings() string {
	text, _ := Files.ReadFile("settings/entry.ini")
	return string(text)
}
