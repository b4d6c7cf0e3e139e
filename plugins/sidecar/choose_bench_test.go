package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// manyTargets returns targets of one service on as many hosts, in six failure domains.
func manyTargets(n int) []*model.Target {
	targets := make([]*model.Target, n)
	for i := range targets {
		targets[i] = &model.Target{
			ID: model.TargetID(fmt.Sprintf("i-%04d", i)), Service: "alpha", Domain: string(rune('a' + i%6)), Slots: 10,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	return targets
}

// statsWithRuns returns statistics in which each second target has been used.
func statsWithRuns(targets []*model.Target) *targetStats {
	s := newTestStats()
	random := rand.New(rand.NewPCG(1, 2))
	for i, t := range targets {
		if i%2 == 0 {
			at := begin.Add(-time.Duration(random.IntN(3000)) * time.Millisecond)
			s.attemptStarted(t, at)
			s.attemptEnded(t, statsCall, answered(time.Duration(50+random.IntN(100))*time.Millisecond), 100*time.Millisecond, at)
		}
	}
	return s
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 175} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := manyTargets(n)
			s := statsWithRuns(targets)
			b.ReportAllocs()
			for b.Loop() {
				s.choose(statsCall, targets, 0.5, begin)
			}
		})
	}
}
