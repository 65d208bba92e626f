package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	StoreDown    Kind = "StoreDown"
	StoreSlow    Kind = "StoreSlow"
	StoreLossy   Kind = "StoreLossy" // StoreLossy loses answers of writes that took effect.
	Pause        Kind = "Pause"      // Pause holds all traffic of an instance back, also past its lease.
	Crash        Kind = "Crash"      // Crash ends an instance without a hand-over; another replaces it.
	Stop         Kind = "Stop"       // Stop is a planned stop; another instance replaces it.
	Split        Kind = "Split"      // Split cuts a pair of peers.
	ZoneOut      Kind = "ZoneOut"    // ZoneOut takes a zone out, and back when the fault ends.
	Race         Kind = "Race"       // Race lets two operators change the same thing.
	TargetDrain  Kind = "TargetDrain"
	TargetCold   Kind = "TargetCold"
	TargetSlow   Kind = "TargetSlow"
	TargetFail   Kind = "TargetFail"
	TargetLose   Kind = "TargetLose"
	TargetBreak  Kind = "TargetBreak"
	TargetSilent Kind = "TargetSilent"
)

// Fault is one line of a schedule. Pick and Other choose what it hits among
// what is there at the time.
type Fault struct {
	Number int
	Kind   Kind
	At     time.Duration
	For    time.Duration
	Pick   int
	Other  int
}

// String returns the fault's line in the trace.
func (f Fault) String() string {
	return fmt.Sprintf("%d %s At=%s For=%s Pick=%d Other=%d", f.Number, f.Kind, f.At, f.For, f.Pick, f.Other)
}

// kindWeight says how often a kind is drawn and how long it lasts.
type kindWeight struct {
	kind           Kind
	weight         int
	least, longest time.Duration
}

func kinds() []kindWeight {
	const s, ms = time.Second, time.Millisecond
	return []kindWeight{
		{StoreDown, 2, s, 12 * s},
		{StoreSlow, 2, s, 5 * s},
		{StoreLossy, 3, s, 6 * s},
		{Pause, 4, 500 * ms, 9 * s},
		{Crash, 2, s, s},
		{Stop, 2, s, s},
		{Split, 3, s, 8 * s},
		{ZoneOut, 2, 3 * s, 6 * s},
		{Race, 2, s, s},
		{TargetDrain, 2, s, 4 * s},
		{TargetCold, 2, s, s},
		{TargetSlow, 3, 200 * ms, 3 * s},
		{TargetFail, 2, 200 * ms, 3 * s},
		{TargetLose, 3, 200 * ms, 3 * s},
		{TargetBreak, 3, 200 * ms, 3 * s},
		{TargetSilent, 2, s, s},
	}
}

// meanGap is the mean time between the starts of two faults.
const meanGap = 900 * time.Millisecond

// Schedule draws the faults of a run from its seed. The same seed and span give
// the same schedule.
func Schedule(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 31))
	table := kinds()
	total := 0
	for _, k := range table {
		total += k.weight
	}
	var faults []Fault
	at := meanGap
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		draw := random.IntN(total)
		chosen := table[0]
		for _, k := range table {
			if draw < k.weight {
				chosen = k
				break
			}
			draw -= k.weight
		}
		f := Fault{
			Number: len(faults) + 1, Kind: chosen.kind, At: at.Round(time.Millisecond),
			For:  chosen.least + time.Duration(random.Int64N(int64(chosen.longest-chosen.least)+1)).Round(time.Millisecond),
			Pick: random.IntN(1 << 16), Other: random.IntN(1 << 16),
		}
		if f.At+f.For > span {
			return faults
		}
		faults = append(faults, f)
	}
}
