package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/quarantine"
)

func TestTheFirstLostRunOfACrashNamesAllThatWereRunning(t *testing.T) {
	g := NewWithT(t)
	d := newCrashDetector()
	one, two := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	finished := d.started(quarantine.Fingerprint{3})
	d.ended(finished)
	first := d.started(one)
	d.started(two)
	d.started(two)

	check, suspects, isNew := d.lost()
	g.Expect(isNew).To(BeTrue())
	g.Expect(suspects).To(ConsistOf(one, two))
	d.ended(first)
	joined, _, isNew := d.lost()
	g.Expect(isNew).To(BeFalse(), "the check is still running")
	g.Expect(joined).To(BeIdenticalTo(check))

	check.crashed = true
	close(check.ended)
	d.started(quarantine.Fingerprint{4})
	_, _, isNew = d.lost()
	g.Expect(isNew).To(BeFalse(), "a request that meets a crashed target has not caused the crash")

	d.answered()
	_, _, isNew = d.lost()
	g.Expect(isNew).To(BeTrue(), "the target has run again")
}

func TestEachLostConnectionOfARunningTargetIsChecked(t *testing.T) {
	g := NewWithT(t)
	d := newCrashDetector()
	d.started(quarantine.Fingerprint{1})
	check, _, _ := d.lost()
	close(check.ended)
	_, suspects, isNew := d.lost()
	g.Expect(isNew).To(BeTrue())
	g.Expect(suspects).To(HaveLen(1))
}
