package tblease

import "time"

// Params holds the parameters of a lease. If holder and grantor used different ones, the grantor could
// take a lease as expired that the holder still uses.
type Params struct {
	// Duration is the nominal duration of a lease.
	Duration time.Duration
	// ClockRateBound is the maximum relative difference between the rates of two clocks, for example 0.01.
	ClockRateBound float64
}

// HolderDuration returns how long the holder may use the lease, on the holder's clock.
func (t Params) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.ClockRateBound))
}

// GrantorDuration returns how long the grantor must wait, on the grantor's clock, until the lease has
// expired at the holder.
func (t Params) GrantorDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.ClockRateBound))
}

// Holder tracks a lease at the process that uses it.
type Holder struct {
	params Params
	expiry time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(params Params) *Holder { return &Holder{params: params} }

// Renew extends the lease after a grant. sentAt is when the holder sent the request for the grant.
func (h *Holder) Renew(sentAt time.Time) {
	if expiry := sentAt.Add(h.params.HolderDuration()); expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// Valid reports whether the holder has the lease at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiry) }

// Expiry returns when the lease expires, or the zero time if there never was one.
func (h *Holder) Expiry() time.Time { return h.expiry }

// Grantor tracks the leases that a process has granted, one per key.
type Grantor struct {
	params Params
	expiry map[string]time.Time
}

// NewGrantor returns a grantor without granted leases.
func NewGrantor(params Params) *Grantor {
	return &Grantor{params: params, expiry: map[string]time.Time{}}
}

// Grant starts or extends the lease of key. now is when the grantor received the request for the lease.
func (g *Grantor) Grant(key string, now time.Time) {
	g.expiry[key] = now.Add(g.params.GrantorDuration())
}

// Expiry returns the time from which the lease of key is certain to have expired at its holder. It
// returns the zero time if the grantor has no lease of key.
func (g *Grantor) Expiry(key string) time.Time { return g.expiry[key] }

// Expired reports whether the lease of key is certain to have expired at its holder. It returns true if
// the grantor has no lease of key.
func (g *Grantor) Expired(key string, now time.Time) bool { return !now.Before(g.expiry[key]) }

// Remove deletes the lease of key. The lease must have expired, because Expired returns true after Remove.
func (g *Grantor) Remove(key string) { delete(g.expiry, key) }

// AssumeGranted initializes a grantor that replaces another one. It drops all
// leases, and then assumes that the previous grantor granted a lease to each of keys at now.
func (g *Grantor) AssumeGranted(keys []string, now time.Time) {
	g.expiry = map[string]time.Time{}
	for _, key := range keys {
		g.Grant(key, now)
	}
}
