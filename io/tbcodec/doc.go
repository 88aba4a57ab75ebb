// Package tbcodec maps the domain types of core to protobuf messages and back.
//
// Every field is mapped by hand, so that the domain types carry no tags and a
// change of either side shows as a change here.
package tbcodec
