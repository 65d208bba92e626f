// Package limiter keeps the calls of customers within their quotas, over all instances together.
//
// A quota is a number of calls in each window of a few seconds: the customer's rate times the
// window, plus its burst. The owners of services count the calls that they grant, and use only
// their share of the quota. State is what one instance knows; its decisions are pure steps.
// Limiter exchanges counts and shares with the other hubs. Alone decides for an instance that
// reaches no owner.
package limiter

import (
	"math"
	"time"

	"hemlocktally"
)

// Bounds are the limits that operators have agreed on for quotas.
type Bounds struct {
	Window    time.Duration // Window is the time over which calls are counted.
	Overshoot float64       // Overshoot is how many times a quota may be executed in a window.
	Slack     float64       // Slack is the number of calls that may be executed in addition.
}

// Defaults of the bounds.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 1.1
)

// withDefaults returns the bounds with a default in place of each zero value.
func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	if b.Overshoot < 1 {
		b.Overshoot = DefaultOvershoot
	}
	b.Slack = max(0, b.Slack)
	return b
}

// Parts of the margin between the quota and what may be executed in a window. Hubs may use all
// parts at the same time: together they stay below one.
const (
	// countedPart is added to the quota where all counts are known. It makes up for the
	// resolution of the counts, which hold a call slightly longer than the window.
	countedPart = 0.4
	// sharedPart is added to what the hubs' confirmed shares allow together.
	sharedPart = 0.45
	// newcomerPart is what a hub may use before the others have confirmed its share. At most
	// three hubs are counted on to do so at the same time.
	newcomerPart = 0.1
	// alonePart is what all instances that decide alone use together.
	alonePart = 0.2
)

// budget is what a quota allows in one window.
type budget struct {
	quota    float64 // quota is the rate times the window plus the burst.
	margin   float64 // margin is how much more may be executed.
	rate     float64
	burst    float64
	newcomer float64
	// untold is how many calls a hub may grant before the others have heard of them. It bounds
	// what is lost with a hub that crashes.
	untold float64
}

// Parts of the quota and of the margin that a hub may grant before the others have heard of it.
const (
	untoldQuotaPart  = 0.05
	untoldMarginPart = 0.1
	minUntold        = 2
)

func newBudget(c hemlocktally.Customer, b Bounds) budget {
	quota := max(1, c.RatePerSecond*b.Window.Seconds()+c.Burst)
	margin := (b.Overshoot-1)*quota + b.Slack
	return budget{
		quota: quota, margin: margin, rate: c.RatePerSecond, burst: c.Burst, newcomer: max(1, newcomerPart*margin),
		untold: max(minUntold, untoldQuotaPart*quota+untoldMarginPart*margin),
	}
}

// startBurst is the part of the burst that may be used at once by hubs that don't know what was
// granted before they started, if instances told that calls were sent then.
const startBurst = 0.25

// allowed returns the quota as far as it may be used by hubs that have known all counts for the
// given time only. What was granted before is not known, so only what the rate has allowed since
// then, and the burst, is certain. before is set if instances told of calls sent before.
func (b budget) allowed(known time.Duration, before bool, bounds Bounds) float64 {
	if known >= bounds.Window {
		return b.quota
	}
	burst := b.burst
	if before {
		burst *= startBurst
	}
	return min(b.quota, burst+b.rate*max(0, known).Seconds())
}

// shareUnits is the number of units of a whole share. Sums of shares in whole units are exact.
const shareUnits = 1 << 20

// inUnits rounds a share down to whole units.
func inUnits(share float64) float64 { return math.Floor(share*shareUnits) / shareUnits }

// refusal returns the error for a call beyond the quota.
func refusal(detail string, retryAfter time.Duration) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonQuota, Detail: detail, RetryAfter: retryAfter,
	}
}
