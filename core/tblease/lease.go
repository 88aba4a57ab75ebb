package tblease

import "time"

// Terms are what holder and grantor agree on beforehand.
type Terms struct {
	Length time.Duration
	// ClockRateBound is the largest relative difference between two clocks, for example 0.01.
	ClockRateBound float64
}

// HolderLength is how long the holder may act, on its own clock.
func (t Terms) HolderLength() time.Duration {
	return time.Duration(float64(t.Length) * (1 - t.ClockRateBound))
}

// GrantorLength is how long the grantor has to wait, on its own clock.
func (t Terms) GrantorLength() time.Duration {
	return time.Duration(float64(t.Length) * (1 + t.ClockRateBound))
}

// Holder is the side that acts under a lease.
type Holder struct {
	terms Terms
	until time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(terms Terms) *Holder { return &Holder{terms: terms} }

// Renew extends the lease after a grant; sentAt is when the request was sent.
func (h *Holder) Renew(sentAt time.Time) {
	if until := sentAt.Add(h.terms.HolderLength()); until.After(h.until) {
		h.until = until
	}
}

// Valid reports whether the holder may act at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Until returns the end of the lease, or the zero time.
func (h *Holder) Until() time.Time { return h.until }

// Grantor is the side that waits for leases to end; it keeps one per key.
type Grantor struct {
	terms Terms
	until map[string]time.Time
}

// NewGrantor returns a grantor that has granted nothing.
func NewGrantor(terms Terms) *Grantor {
	return &Grantor{terms: terms, until: map[string]time.Time{}}
}

// Grant starts or extends the lease of key at now, when the request was received.
func (g *Grantor) Grant(key string, now time.Time) {
	g.until[key] = now.Add(g.terms.GrantorLength())
}

// Until returns when the lease of key has surely ended, or the zero time if none was granted.
func (g *Grantor) Until(key string) time.Time { return g.until[key] }

// Ended reports whether the lease of key has surely ended at now.
func (g *Grantor) Ended(key string, now time.Time) bool { return !now.Before(g.until[key]) }

// Forget drops a key whose lease has ended.
func (g *Grantor) Forget(key string) { delete(g.until, key) }

// TakeOver is for a new grantor: any of keys may hold a lease of the one before.
func (g *Grantor) TakeOver(keys []string, now time.Time) {
	g.until = map[string]time.Time{}
	for _, key := range keys {
		g.Grant(key, now)
	}
}
