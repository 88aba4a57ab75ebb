package tbscenario

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackbarrow/io/tblaunch"
)

// readinessPollInterval is how often the load balancer checks whether each instance is ready.
const readinessPollInterval = 100 * time.Millisecond

// loadBalancer simulates the platform's load balancer, which sends calls only to instances that report ready.
type loadBalancer struct {
	mu             sync.Mutex
	instances      []*tblaunch.Instance
	readyByAddress map[string]bool
	rng            *rand.Rand
	stopPolling    context.CancelFunc
}

func newLoadBalancer(instances []*tblaunch.Instance, seed uint64) *loadBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &loadBalancer{
		instances: instances, readyByAddress: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 9)), stopPolling: cancel,
	}
	for _, in := range instances {
		b.readyByAddress[in.CallerAddress] = true
		go b.pollReadiness(ctx, in)
	}
	return b
}

func (b *loadBalancer) pollReadiness(ctx context.Context, in *tblaunch.Instance) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ready, _ := in.Ready(ctx)
			b.mu.Lock()
			b.readyByAddress[in.CallerAddress] = ready
			b.mu.Unlock()
		}
	}
}

// pickReadyAddress returns the caller address of a random ready instance, or of a random instance if none is ready.
func (b *loadBalancer) pickReadyAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := b.rng.IntN(len(b.instances))
	for i := range b.instances {
		address := b.instances[(start+i)%len(b.instances)].CallerAddress
		if b.readyByAddress[address] {
			return address
		}
	}
	return b.instances[start].CallerAddress
}

func (b *loadBalancer) close() { b.stopPolling() }
