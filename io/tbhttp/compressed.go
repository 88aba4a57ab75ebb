package tbhttp

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"net/http"
)

// gzipEncoding is the only compression that the own interface accepts.
const gzipEncoding = "gzip"

// Prefix of each message in a body of several messages: flags, and the length of what follows.
const (
	envelopeBytes  = 5
	compressedFlag = 1
)

// isCompressed reports whether a body, or messages in it, may be larger when they are decompressed.
func isCompressed(h http.Header) bool { return isWholeCompressed(h) || hasCompressedMessages(h) }

func isWholeCompressed(h http.Header) bool { return h.Get("Content-Encoding") == gzipEncoding }

func hasCompressedMessages(h http.Header) bool {
	return h.Get("Grpc-Encoding") == gzipEncoding || h.Get("Connect-Content-Encoding") == gzipEncoding
}

// decodedSize returns the size in bytes of a body, or at least limit+1 if it is larger when it is decompressed. If the
// headers allow both forms of compression, it returns the larger size. What cannot be decompressed counts up to its
// first error, because nothing after it is decoded.
func decodedSize(h http.Header, body []byte, limit int64) int64 {
	size := int64(len(body))
	if isWholeCompressed(h) {
		size = max(size, inflatedSize(body, limit))
	}
	if hasCompressedMessages(h) {
		size = max(size, messagesSize(body, limit))
	}
	return size
}

// messagesSize returns the size in bytes of the messages in a body, or at least limit+1 if they are larger.
func messagesSize(body []byte, limit int64) int64 {
	var size int64
	for len(body) >= envelopeBytes && size <= limit {
		flags, length := body[0], uint64(binary.BigEndian.Uint32(body[1:]))
		body = body[envelopeBytes:]
		message := body[:min(uint64(len(body)), length)]
		body = body[len(message):]
		n := int64(len(message))
		if flags&compressedFlag != 0 {
			n = max(n, inflatedSize(message, limit-size))
		}
		size += envelopeBytes + n
	}
	return size
}

// inflatedSize returns the size in bytes of what a compressed message contains, or limit+1 if it is larger.
func inflatedSize(message []byte, limit int64) int64 {
	r, err := gzip.NewReader(bytes.NewReader(message))
	if err != nil {
		return 0
	}
	n, _ := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	return n
}
