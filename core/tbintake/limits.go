package tbintake

import "bytes"

// Memory that a process needs for a connection and its requests, in bytes. Each is an upper bound, so
// that what a table counts is not less than what the process holds.
const (
	// ConnectionCost covers the buffers and the goroutine of a connection.
	ConnectionCost = 16 << 10
	// LineCost covers the map entry and the strings of one header line beside its bytes.
	LineCost = 256
	// BufferFactor is the memory for each received byte, because buffers double when they grow.
	BufferFactor = 2
	// InflateCost covers the buffers to decompress one request.
	InflateCost = 64 << 10
	// ReceiveBuffer is the size of a connection's receive buffer in the kernel.
	ReceiveBuffer = 32 << 10
)

// Memory that a decoded JSON document needs, in bytes.
const (
	objectCost = 320
	valueCost  = 32
	// copyFactor covers the copies of a request on its way to the leader.
	copyFactor = 3
)

// protoFactor is the memory for each byte of an encoded protobuf message. An empty nested message has
// two bytes and is decoded to a struct.
const protoFactor = 64

// DecodeCost returns the memory in bytes that is needed to decode and forward a JSON document. Many
// small objects need much more memory than bytes.
func DecodeCost(document []byte) int64 {
	return int64(copyFactor*len(document) + objectCost*bytes.Count(document, []byte("{")) +
		valueCost*bytes.Count(document, []byte(",")))
}

// ProtoCost returns the memory in bytes that is needed to decode a protobuf message of n bytes.
func ProtoCost(n int64) int64 { return protoFactor * n }

// Limits bounds what a process holds for connections and requests together.
type Limits struct {
	// Bytes bounds the memory of all connections and requests.
	Bytes int64
	// RunningBytes bounds the memory of whole requests that are being answered. These are never given
	// up, so a part of Bytes is kept for requests that arrive.
	RunningBytes int64
	// Connections bounds the number of connections, and RunningRequests that of whole requests, each of
	// which may need a connection to the leader.
	Connections     int
	RunningRequests int
}

// Shares of a process's memory and descriptors.
const (
	memoryDivisor          = 4
	runningDivisor         = 2
	connectionsDivisor     = 2
	runningRequestsDivisor = 5
)

// LimitsOf returns the limits of a process with memory bytes and a number of file descriptors. The rest
// of both is for the process's own state, its garbage, its files and its connections to others.
func LimitsOf(memory int64, descriptors int) Limits {
	bytes := memory / memoryDivisor
	return Limits{
		Bytes: bytes, RunningBytes: bytes / runningDivisor,
		Connections:     min(descriptors/connectionsDivisor, int(bytes/ReceiveBuffer)),
		RunningRequests: descriptors / runningRequestsDivisor,
	}
}

// MaxProtoBytes returns the size in bytes of the largest protobuf message that may be decoded. Decoding it
// takes half of the memory for whole requests.
func (l Limits) MaxProtoBytes() int64 { return l.RunningBytes / 2 / protoFactor }
