package tblease

import "time"

// Terms holds the parameters of a lease, which must be the same at holder and grantor.
type Terms struct {
	// Length is the nominal duration of a lease.
	Length time.Duration
	// ClockRateBound is the maximum relative difference between the rates of two clocks, for example 0.01.
	ClockRateBound float64
}

// HolderLength returns how long the holder may use the lease, on the holder's clock.
func (t Terms) HolderLength() time.Duration {
	return time.Duration(float64(t.Length) * (1 - t.ClockRateBound))
}

// GrantorLength returns how long the grantor must wait for the lease to end, on the grantor's clock.
func (t Terms) GrantorLength() time.Duration {
	return time.Duration(float64(t.Length) * (1 + t.ClockRateBound))
}

// Holder tracks a lease at the process that uses it.
type Holder struct {
	params Terms
	expiry time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(params Terms) *Holder { return &Holder{params: params} }

// Renew extends the lease after a grant; sentAt is when the request for it was sent.
func (h *Holder) Renew(sentAt time.Time) {
	if expiry := sentAt.Add(h.params.HolderLength()); expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// Valid reports whether the holder has the lease at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiry) }

// Until returns when the lease expires, or the zero time if there never was one.
func (h *Holder) Until() time.Time { return h.expiry }

// Grantor tracks the leases that a process has granted, one per key.
type Grantor struct {
	params Terms
	expiry map[string]time.Time
}

// NewGrantor returns a grantor without granted leases.
func NewGrantor(params Terms) *Grantor {
	return &Grantor{params: params, expiry: map[string]time.Time{}}
}

// Grant starts or extends the lease of key; now is when the request for it was received.
func (g *Grantor) Grant(key string, now time.Time) {
	g.expiry[key] = now.Add(g.params.GrantorLength())
}

// Until returns when the lease of key has ended at any holder, or the zero time if none was granted.
func (g *Grantor) Until(key string) time.Time { return g.expiry[key] }

// Ended reports whether the lease of key has ended at any holder; true if none was granted.
func (g *Grantor) Ended(key string, now time.Time) bool { return !now.Before(g.expiry[key]) }

// Forget deletes the lease of key, which must have ended.
func (g *Grantor) Forget(key string) { delete(g.expiry, key) }

// TakeOver initializes the grantor that replaces another one. It assumes that each of keys
// received a lease from the previous grantor at now.
func (g *Grantor) TakeOver(keys []string, now time.Time) {
	g.expiry = map[string]time.Time{}
	for _, key := range keys {
		g.Grant(key, now)
	}
}
