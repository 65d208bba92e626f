// Package messenger holds the wire types and the twirp services that the
// processes of hemlocktally speak with one another. All other files of the
// package are generated from the schemas beside them.
//
// Durations on the wire are microseconds counted from the moment at which the
// message was sent, because the clocks of two instances may differ.
package messenger

//go:generate sh generate.sh
