package tbscenario

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackbarrow/io/tblaunch"
)

// balancerInterval is how often the platform's balancer asks each instance.
const balancerInterval = 100 * time.Millisecond

// balancer plays the platform's balancer: it sends calls only to instances that say they are ready.
type balancer struct {
	mu        sync.Mutex
	instances []*tblaunch.Instance
	ready     map[string]bool
	rng       *rand.Rand
	cancel    context.CancelFunc
}

func newBalancer(instances []*tblaunch.Instance, seed uint64) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{
		instances: instances, ready: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 9)), cancel: cancel,
	}
	for _, in := range instances {
		b.ready[in.CallerAddress] = true
		go b.watch(ctx, in)
	}
	return b
}

func (b *balancer) watch(ctx context.Context, in *tblaunch.Instance) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ready, _ := in.Ready(ctx)
			b.mu.Lock()
			b.ready[in.CallerAddress] = ready
			b.mu.Unlock()
		}
	}
}

// pick returns a ready instance, or any when none is.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := b.rng.IntN(len(b.instances))
	for i := range b.instances {
		address := b.instances[(start+i)%len(b.instances)].CallerAddress
		if b.ready[address] {
			return address
		}
	}
	return b.instances[start].CallerAddress
}

func (b *balancer) close() { b.cancel() }
