package tbhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"tamarackbarrow/core/tbintake"
)

// retryAfter is the time in seconds after which a refused client may try again.
const retryAfter = "1"

// requestKey is the key under which a context holds a request.
type requestKey struct{}

// request is a request that is being served, or the connection whose only request it is.
type request struct {
	intake *Intake
	id     tbintake.ID
	// isShared is true if the connection has several requests at a time.
	isShared bool
	mu       sync.Mutex
	// body is nil after the request has ended.
	body io.Closer
	// isEvicted is true once the request was given up.
	isEvicted bool
}

// evict implements owner for a request on a shared connection.
func (q *request) evict() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.body != nil {
		q.isEvicted = true
		q.body.Close()
	}
}

// wasEvicted reports whether the request was given up.
func (q *request) wasEvicted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isEvicted
}

func (q *request) end() {
	q.mu.Lock()
	q.body = nil
	q.mu.Unlock()
	q.intake.close(q.id)
}

func requestOf(r *http.Request) *request {
	q, _ := r.Context().Value(requestKey{}).(*request)
	return q
}

// admit passes requests to next while there is room. A request without a body is whole from the start;
// others become whole in ReadBody.
func (in *Intake) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor > 1 {
			q := in.openShared(r)
			if q == nil {
				Refuse(w)
				return
			}
			defer q.end()
			r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
		}
		if q := requestOf(r); r.ContentLength == 0 && q != nil && !in.run(q.id, 0) {
			Refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// openShared admits a request of a shared connection. It returns nil if there is no room for it.
func (in *Intake) openShared(r *http.Request) *request {
	cost := int64(tbintake.ConnectionCost)
	for key, values := range r.Header {
		for _, value := range values {
			cost += int64(tbintake.LineCost + tbintake.BufferFactor*(len(key)+len(value)))
		}
	}
	q := &request{intake: in, isShared: true, body: r.Body}
	now := time.Now()
	in.mu.Lock()
	id, evicted, ok := in.table.OpenShared(hostOf(r.RemoteAddr), cost, now)
	if ok {
		q.id = id
		in.owners[id] = q
	}
	owners := in.settle(evicted, ok, now)
	in.mu.Unlock()
	evictAll(owners)
	if !ok {
		in.options.Count(counterRefusedRequests)
		return nil
	}
	return q
}

// Refuse answers a request that there is no room for. The request has not been executed.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ReadBody reads the body of a request. It returns an http.MaxBytesError if the body has more than limit
// bytes, and ErrNoRoom if there is no room for the request.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	q := requestOf(r)
	var body bytes.Buffer
	_, err := body.ReadFrom(&bodyReader{Reader: http.MaxBytesReader(w, r.Body, limit), request: q})
	if err != nil {
		return nil, err
	}
	if q != nil && !q.intake.run(q.id, 0) {
		return nil, ErrNoRoom
	}
	return body.Bytes(), nil
}

// bodyReader accounts for the body of a request on a shared connection.
type bodyReader struct {
	io.Reader
	request *request
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && b.request != nil && b.request.isShared && !b.request.intake.receive(b.request.id, int64(tbintake.BufferFactor*n)) {
		return 0, ErrNoRoom
	}
	if err != nil && err != io.EOF && b.request != nil && b.request.wasEvicted() {
		return n, ErrNoRoom
	}
	return n, err
}

// AdmitDecoding accounts for the memory that is needed to decode and forward a JSON document. Without room
// for it, AdmitDecoding refuses the request and returns false. The status is 413 if there can never be
// room.
func AdmitDecoding(w http.ResponseWriter, r *http.Request, document []byte) bool {
	return admitCost(w, r, tbintake.DecodeCost(document))
}

// AdmitAnswer accounts for the memory of an answer of size bytes. Without room for it, AdmitAnswer refuses the
// request as AdmitDecoding does.
func AdmitAnswer(w http.ResponseWriter, r *http.Request, size int) bool {
	return admitCost(w, r, int64(tbintake.BufferFactor*size))
}

func admitCost(w http.ResponseWriter, r *http.Request, cost int64) bool {
	q := requestOf(r)
	switch {
	case q == nil || q.intake.run(q.id, cost):
		return true
	case !q.intake.canFit(q.id, cost):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		Refuse(w)
	}
	return false
}

// Whole returns a handler that passes requests to next after their bodies have arrived and there is room to
// decode them as protobuf messages. Bodies may have up to limit bytes.
func (in *Intake) Whole(next http.Handler, limit int64) http.Handler {
	limit = min(limit, in.options.Limits.MaxProtoBytes())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		// The errors are ignored because only a connection that is closed has no deadline.
		_ = control.SetReadDeadline(time.Now().Add(in.options.BodyTimeout))
		body, err := ReadBody(w, r, limit)
		if err == nil {
			_ = control.SetReadDeadline(time.Time{})
		} else {
			// net/http reads the rest of the body before it answers, within the deadline.
			w.Header().Set("Connection", "close")
		}
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case errors.Is(err, ErrNoRoom):
			Refuse(w)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if isCompressed(r.Header) && !admitCost(w, r, tbintake.InflateCost) {
			return
		}
		size := decodedSize(r.Header, body, limit)
		if size > limit {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if !admitCost(w, r, tbintake.ProtoCost(size)) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
