package lease_test

import (
	"testing"

	"ferrypitch/internal/lease"
	"ferrypitch/internal/simulation/statesize"
)

// Measures granting a lease, and counting the lease holders, which is sent with each grant.
func BenchmarkGrant(b *testing.B) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			grantor := lease.NewGrantor(0)
			for i := range size.Proxies {
				grantor.Grant(statesize.ProxyName(i), 1, 1, 0, 1)
			}
			b.Run("grant", func(b *testing.B) {
				for b.Loop() {
					grantor.Grant("edge-waco-hall-7", 1, 1, 0, 1)
				}
			})
			b.Run("count", func(b *testing.B) {
				for b.Loop() {
					grantor.HolderCount(1)
				}
			})
		})
	}
}

// Measures the check that runs at each tick during a failover.
func BenchmarkAllCaughtUp(b *testing.B) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			grantor := lease.NewGrantor(0)
			for i := range size.Proxies {
				grantor.Grant(statesize.ProxyName(i), 1, 2, 0, 5000)
			}
			for b.Loop() {
				if !grantor.AllCaughtUp(2, nil, 5001) {
					b.Fatal("AllCaughtUp is false although all proxies have applied the index")
				}
			}
		})
	}
}
