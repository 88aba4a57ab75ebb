// Package tbcodec converts the domain types of core to protobuf messages and back.
//
// Every field is converted explicitly, so that the domain types need no tags and a change on
// either side requires a change here.
package tbcodec
