package burn

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
)

// minAlertCalls is the number of eligible calls in the short window that an alert
// requires.
const minAlertCalls = 100

// runAlerts checks the burn rates of all services at each step of the short window.
func (b *Burn) runAlerts(ctx context.Context) {
	ticker := time.NewTicker(b.aggregator.steps.short)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.checkServices(now)
		}
	}
}

func (b *Burn) checkServices(now time.Time) {
	s := b.snapshot()
	for _, name := range b.aggregator.services() {
		service := serviceOf(s, name)
		if service == nil || service.Objective.Availability <= 0 {
			continue
		}
		short, long := b.aggregator.windows(now, name)
		availability := service.Objective.Availability
		b.updateAlert(name, slo.Attribute(short, availability), slo.Attribute(long, availability), short.Total().Entry.Eligible())
	}
}

// updateAlert logs the start and the end of a fast burn. It starts when both windows
// reach the threshold, and ends when the short window falls below it.
func (b *Burn) updateAlert(service string, short, long slo.Attribution, calls uint64) {
	fast := short.BurnRate >= b.settings.AlertBurn && long.BurnRate >= b.settings.AlertBurn && calls >= minAlertCalls
	switch {
	case fast && !b.alerting[service]:
		b.alerting[service] = true
		b.ctx.Log().Emit(eventFastBurn, event.Fields{
			"service":    service,
			"short_burn": short.BurnRate,
			"long_burn":  long.BurnRate,
			"cause":      string(short.Cause),
			"verdict":    short.Summary,
		})
	case b.alerting[service] && short.BurnRate < b.settings.AlertBurn:
		delete(b.alerting, service)
		b.ctx.Log().Emit(eventFastBurnOver, event.Fields{"service": service, "short_burn": short.BurnRate})
	}
}
