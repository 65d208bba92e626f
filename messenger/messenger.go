// Package messenger contains the protobuf messages and twirp services with which
// the processes of hemlocktally communicate, and the HTTP/2 settings of their
// connections. The messages and services are generated from the .proto files in
// this directory.
//
// Durations on the wire are in microseconds. Unless the comment of a field says
// otherwise they count from the moment at which the message was sent, because the
// clocks of two instances may differ.
package messenger

//go:generate sh generate.sh
