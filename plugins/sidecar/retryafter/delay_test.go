package retryafter

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The callers of a deployment: how long they wait, their objective, the run time, and how often
// they come back.
const (
	callerTimeout = 2500 * time.Millisecond
	objective     = 600 * time.Millisecond
	runTime       = 200 * time.Millisecond
	retries       = 1
	shedShare     = 0.55
)

// simulateShedding returns the shares of callers that are served on time, and at all, while every
// target turns a share of the requests away though it has room.
func simulateShedding(hadRoom bool) (onTime, served float64) {
	random := rand.New(rand.NewPCG(1, 2))
	const callers = 20_000
	for range callers {
		elapsed := time.Duration(0)
		for range 1 + retries {
			if random.Float64() >= shedShare {
				served++
				if elapsed+runTime <= objective {
					onTime++
				}
				break
			}
			rejection := Rejection{HadRoom: hadRoom, ObjectiveRemaining: objective - elapsed - runTime, Left: callerTimeout - elapsed}
			elapsed += rejection.Delay(random.Float64())
		}
	}
	return onTime / callers, served / callers
}

// TestCallersThatATargetWithRoomTurnedAwayAreServedOnTime bounds the share by the ideal: every try
// that meets a target which takes the request is on time.
func TestCallersThatATargetWithRoomTurnedAwayAreServedOnTime(t *testing.T) {
	g := NewWithT(t)
	ideal := 1 - shedShare*shedShare
	onTime, served := simulateShedding(true)
	g.Expect(onTime).To(BeNumerically(">=", 0.97*ideal))
	g.Expect(served).To(BeNumerically("~", ideal, 0.02))
	late, _ := simulateShedding(false)
	g.Expect(late).To(BeNumerically("<", 0.9*onTime), "spread as for full targets, they would be late")
}

func TestCallersOfFullTargetsAreSpread(t *testing.T) {
	g := NewWithT(t)
	r := Rejection{Wait: 300 * time.Millisecond, ObjectiveRemaining: objective, Left: callerTimeout}
	g.Expect(r.Delay(0)).To(Equal(300 * time.Millisecond))
	g.Expect(r.Delay(1)).To(BeNumerically("~", 300*time.Millisecond+callerTimeout/4, time.Millisecond))
	r.Wait = 0
	g.Expect(r.Delay(0)).To(Equal(minFull))
}

func TestCallerWhoseObjectiveHasPassedIsSpread(t *testing.T) {
	g := NewWithT(t)
	r := Rejection{HadRoom: true, ObjectiveRemaining: -time.Second, Left: time.Second}
	g.Expect(r.Delay(1)).To(BeNumerically("~", minFull+time.Second/4, time.Millisecond))
}

func TestDelayThatATargetAsksForIsKept(t *testing.T) {
	g := NewWithT(t)
	r := Rejection{HadRoom: true, Wait: 2 * time.Second, ObjectiveRemaining: objective, Left: 5 * time.Second}
	g.Expect(r.Delay(0)).To(Equal(2 * time.Second))
}
